// Package ctl implements the commands of balsam-ctl for operators.
package ctl
