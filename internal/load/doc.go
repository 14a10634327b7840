// Package load generates load on entries, checks every answer and compares the policy modes. It
// starts no other processes.
package load
