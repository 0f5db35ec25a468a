// Package progress shows the progress of a run on a terminal.
//
// # Usage
//
//	line := progress.New(os.Stderr, "Winch seed 1", time.Minute)
//	stop := line.Start(collector)
//	defer stop()
//
// On a terminal the line is updated in place. Otherwise a new line is printed every ten
// seconds.
package progress

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

const (
	terminalInterval = 500 * time.Millisecond
	plainInterval    = 10 * time.Second
)

// Counter counts the requests that have ended.
type Counter interface {
	// Progress returns the number of requests that ended, that met their targets, that
	// were refused, and that were cut or got a wrong answer.
	Progress() (ended, attained, refused, cutOrWrong int)
}

// Line is the progress line of one run. A nil Line prints nothing.
type Line struct {
	out      *os.File
	label    string
	length   time.Duration
	terminal bool
	mu       sync.Mutex
}

// New returns a line that is written to out.
func New(out *os.File, label string, length time.Duration) *Line {
	info, err := out.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return &Line{out: out, label: label, length: length, terminal: terminal}
}

// Start prints the counts regularly until the returned function is called, which prints
// them a last time.
func (l *Line) Start(counter Counter) func() {
	if l == nil {
		return func() {}
	}
	start, done, stopped := time.Now(), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		interval := plainInterval
		if l.terminal {
			interval = terminalInterval
		}
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.show(time.Since(start), counter, false)
			case <-done:
				l.show(time.Since(start), counter, true)
				return
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

func (l *Line) show(elapsed time.Duration, counter Counter, last bool) {
	ended, attained, refused, cutOrWrong := counter.Progress()
	share := 0.0
	if ended > 0 {
		share = 100 * float64(attained) / float64(ended)
	}
	end := "\n"
	if l.terminal && !last {
		end = ""
	}
	l.print(fmt.Sprintf("%s  %s of %s  ended %d  met targets %.1f%%  refused %d  cut or wrong %d%s",
		l.label, elapsed.Round(time.Second), l.length, ended, share, refused, cutOrWrong, end))
}

// Println prints a line of text. On a terminal it first erases the progress line, which is printed
// again at the next interval.
func (l *Line) Println(text string) {
	if l != nil {
		l.print(text + "\n")
	}
}

func (l *Line) print(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.terminal {
		// Return to the start of the line and erase it.
		_, _ = io.WriteString(l.out, "\r\x1b[K")
	}
	_, _ = io.WriteString(l.out, text)
}
