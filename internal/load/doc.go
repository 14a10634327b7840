// Package load generates load for entries, checks every answer and compares
// the policy modes. It starts no other process.
package load
