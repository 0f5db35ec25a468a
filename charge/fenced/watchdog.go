package fenced

import (
	"fmt"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// watchdog is a kernel timer that kills the process when it fires. The kernel
// runs it also while the process is stopped, and a killed process does not
// return to its program: whatever was to be written next is never written.
type watchdog struct{ id int32 }

// signalEvent is the kernel's struct sigevent.
type signalEvent struct {
	_      uint64
	signal int32
	notify int32
	_      [48]byte
}

// notifySignal is SIGEV_SIGNAL.
const notifySignal = 0

// armWatchdog starts a timer that kills the process after the time left.
func armWatchdog(remaining time.Duration) (*watchdog, error) {
	event := signalEvent{signal: int32(unix.SIGKILL), notify: notifySignal}
	w := &watchdog{}
	_, _, errno := unix.Syscall(unix.SYS_TIMER_CREATE, unix.CLOCK_BOOTTIME,
		uintptr(unsafe.Pointer(&event)), uintptr(unsafe.Pointer(&w.id)))
	if errno != 0 {
		return nil, fmt.Errorf("create kernel timer: %w", errno)
	}
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(remaining.Nanoseconds())}
	_, _, errno = unix.Syscall6(unix.SYS_TIMER_SETTIME, uintptr(w.id), 0, uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
	if errno != 0 {
		w.disarm()
		return nil, fmt.Errorf("start kernel timer: %w", errno)
	}
	return w, nil
}

// disarm removes the timer.
func (w *watchdog) disarm() {
	if w != nil {
		_, _, _ = unix.Syscall(unix.SYS_TIMER_DELETE, uintptr(w.id), 0, 0)
	}
}
