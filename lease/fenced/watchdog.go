package fenced

import (
	"fmt"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// watchdog is a kernel timer that kills the process when it fires. The timer also runs
// while the process is stopped, and a killed process executes no further instructions,
// so that a pending write does not happen.
type watchdog struct{ id int32 }

// signalEvent has the layout of the kernel's struct sigevent.
type signalEvent struct {
	_      uint64
	signal int32
	notify int32
	_      [48]byte
}

// notifySignal is SIGEV_SIGNAL.
const notifySignal = 0

// armWatchdog starts a timer that kills the process after the remaining time.
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

// disarm deletes the timer. It does nothing on a nil watchdog.
func (w *watchdog) disarm() {
	if w != nil {
		_, _, _ = unix.Syscall(unix.SYS_TIMER_DELETE, uintptr(w.id), 0, 0)
	}
}
