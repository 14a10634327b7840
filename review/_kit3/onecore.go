package main

import (
	"math/bits"
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// maskWords is the size of a set of cores, for up to 1,024 of them.
const maskWords = 16

// startOnOneCore starts a process that sees one core, as the platform's machines have. n selects the core.
func startOnOneCore(process *exec.Cmd, n int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var allowed [maskWords]uint64
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(allowed), uintptr(unsafe.Pointer(&allowed))); errno != 0 {
		return errno
	}
	one := nthCore(allowed, n)
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one))); errno != 0 {
		return errno
	}
	err := process.Start()
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(allowed), uintptr(unsafe.Pointer(&allowed))); errno != 0 {
		return errno
	}
	return err
}

// nthCore returns the set of one core, the nth of the allowed ones in turn.
func nthCore(allowed [maskWords]uint64, n int) (one [maskWords]uint64) {
	total := 0
	for _, word := range allowed {
		total += bits.OnesCount64(word)
	}
	left := n % total
	for i, word := range allowed {
		for ; word != 0; word &= word - 1 {
			if left == 0 {
				one[i] = word & -word
				return one
			}
			left--
		}
	}
	return allowed
}
