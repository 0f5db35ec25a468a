// Package logs writes log lines without ever holding up the process.
//
// Lines wait in a bounded queue for a single writer. Lines that find it full are
// dropped and counted, and the next line that is written is followed by one that tells how
// many were.
//
// # Usage
//
//	output := logs.New(os.Stdout, logs.DefaultLines)
//	defer output.Close()
//	logger := hclog.New(&hclog.LoggerOptions{Output: output, JSONFormat: true})
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// DefaultLines is the length of the queue.
	DefaultLines = 2048
	// batchBytes is the most that is written at once.
	batchBytes = 32 << 10
)

// Writer implements io.WriteCloser. It is safe for concurrent use.
type Writer struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	// closing keeps lines from being written to a closed queue.
	closing sync.RWMutex
	closed  bool
}

// New returns a writer of whole lines to the target.
func New(target io.Writer, lines int) *Writer {
	w := &Writer{target: target, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.closing.RLock()
	defer w.closing.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes what is queued, several lines at once where there are some.
func (w *Writer) run() {
	defer close(w.done)
	batch := bytes.Buffer{}
	for line := range w.lines {
		batch.Reset()
		batch.Write(line)
		w.gather(&batch)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(&batch, `{"@level":"warn","@message":"log lines dropped","Event":%d,"Dropped":%d}`+"\n", EventLinesDropped, dropped)
		}
		// There is no other place to tell of a log that cannot be written.
		_, _ = w.target.Write(batch.Bytes())
	}
}

func (w *Writer) gather(batch *bytes.Buffer) {
	for batch.Len() < batchBytes {
		select {
		case line, open := <-w.lines:
			if !open {
				return
			}
			batch.Write(line)
		default:
			return
		}
	}
}

// Close writes what is queued. Lines that come later are dropped.
func (w *Writer) Close() error {
	w.closing.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.closing.Unlock()
	<-w.done
	return nil
}
