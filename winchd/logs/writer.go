// Package logs writes log lines without blocking the process.
//
// Lines are queued in a bounded queue for a single writer. While the queue is full, lines
// are dropped and counted; the next batch that is written ends with a line that contains
// the number of dropped lines. That line is always in JSON, also if the logger writes text.
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
	// DefaultLines is the default length of the queue.
	DefaultLines = 2048
	// batchBytes is the size at which a batch is written even if more lines are queued.
	batchBytes = 32 << 10
)

// Writer implements io.WriteCloser. It is safe for concurrent use.
type Writer struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	// closeMu guards closed, and thereby prevents sends to the closed queue.
	closeMu sync.RWMutex
	closed  bool
}

// New returns a writer to the target, with a queue for the data of the given number of calls of
// Write. Each call must pass one or more complete lines.
func New(target io.Writer, lines int) *Writer {
	w := &Writer{target: target, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues the lines of one call, or drops them if the queue is full. Lines of one call are
// counted as one. Write never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.closeMu.RLock()
	defer w.closeMu.RUnlock()
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

// run writes queued lines in batches until the queue is closed.
func (w *Writer) run() {
	defer close(w.done)
	batch := bytes.Buffer{}
	for line := range w.lines {
		batch.Reset()
		batch.Write(line)
		w.appendQueued(&batch)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(&batch, `{"@level":"warn","@message":"log lines dropped","Event":%d,"Dropped":%d}`+"\n", EventLinesDropped, dropped)
		}
		// An error of the log output cannot be reported anywhere else.
		_, _ = w.target.Write(batch.Bytes())
	}
}

func (w *Writer) appendQueued(batch *bytes.Buffer) {
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

// Close writes the queued lines and waits until they are written. Later lines are dropped.
func (w *Writer) Close() error {
	w.closeMu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.closeMu.Unlock()
	<-w.done
	return nil
}
