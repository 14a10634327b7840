// Package ctl implements the operators' commands.
package ctl
