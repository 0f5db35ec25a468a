package crowdtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// hangLimit is the time without a response to an ordinary request after which a process counts as hanging.
	hangLimit = 30 * time.Second
	// sampleInterval is the interval at which the memory and descriptors of the process are sampled.
	sampleInterval = 20 * time.Millisecond
)

// Limits are the resources that the process may hold.
type Limits struct {
	// Memory is in bytes.
	Memory int64
	// Descriptors is the number of files that the process may open. It has to be started with LimitedCommand.
	Descriptors int
}

// LimitedCommand returns a command that runs the program as a process that may open so many files.
func LimitedCommand(descriptors int, program string, arguments ...string) *exec.Cmd {
	// The shell sets the hard limit as well, which a Go process does not raise, and becomes the program.
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	return exec.Command("/bin/sh", append([]string{"-c", script, program}, arguments...)...)
}

// Process is the process under test.
type Process struct {
	PID int
	// Addresses are the addresses, all with the IP address 127.0.0.1, at which the process listens.
	Addresses []string
	Limits    Limits
	// Serves reports whether one ordinary request is answered.
	Serves func() bool
}

// Meet connects the clients of all kinds and waits until they have sent what they can. An ordinary request must then be answered while
// they are connected, and another after they have disconnected. Meanwhile the process must stay alive and below its limits.
func (p Process) Meet(t *testing.T, place Place, kinds ...Kind) {
	t.Helper()
	crowds, end := []*crowd{}, sync.OnceValue(p.observe().end)
	t.Cleanup(func() { end() })
	for _, kind := range kinds {
		crowds = append(crowds, startCrowd(place, kind))
	}
	leave := sync.OnceFunc(func() {
		for _, c := range crowds {
			c.leave()
		}
	})
	t.Cleanup(leave)
	for _, c := range crowds {
		c.settled.Wait()
		t.Logf("the process ended %d connections", c.refused.Load())
	}
	assert.Check(t, p.servesInTime(), "no ordinary request was answered beside the crowd")
	leave()
	assert.Check(t, p.servesInTime(), "no ordinary request was answered after the crowd")
	p.assertSound(t, end())
}

// servesInTime waits until an ordinary request is answered, and reports whether one was.
func (p Process) servesInTime() bool {
	hang, ticker := time.After(hangLimit), time.NewTicker(50*time.Millisecond)
	defer ticker.Stop()
	for !p.Serves() {
		select {
		case <-hang:
			return false
		case <-ticker.C:
		}
	}
	return true
}

// assertSound checks that the process is alive and has stayed below its limits.
func (p Process) assertSound(t *testing.T, most holdings) {
	t.Helper()
	peak, err := p.statusBytes("VmHWM:")
	assert.NilError(t, err, "the process has ended")
	t.Logf("held at most %d kB resident (%d kB sampled), %d kB unread, %d kB both, %d descriptors",
		peak>>10, most.resident>>10, most.unread>>10, most.both>>10, most.descriptors)
	assert.Check(t, peak < p.Limits.Memory, "held %d bytes, more than the limit", peak)
	assert.Check(t, most.both < p.Limits.Memory, "held %d bytes with those that it had received and not read, more than the limit", most.both)
	assert.Check(t, most.descriptors < p.Limits.Descriptors, "opened %d files, all that the process may", most.descriptors)
}

// holdings is the maximum of each resource that a process held at a time.
type holdings struct {
	// resident is its resident set in bytes, and unread the bytes that its connections received and it has not read. Both is their sum.
	resident, unread, both int64
	// descriptors is the number of its open files.
	descriptors int
}

// observer samples the resources that a process holds.
type observer struct {
	process Process
	most    holdings
	stop    chan struct{}
	done    sync.WaitGroup
}

func (p Process) observe() *observer {
	o := &observer{process: p, stop: make(chan struct{})}
	o.done.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			o.sample()
			select {
			case <-o.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return o
}

// end ends the sampling and returns the maxima.
func (o *observer) end() holdings {
	close(o.stop)
	o.done.Wait()
	return o.most
}

func (o *observer) sample() {
	resident, err := o.process.statusBytes("VmRSS:")
	if err != nil {
		return
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", o.process.PID))
	if err != nil {
		return
	}
	unread := unreadBytes(o.process.Addresses)
	o.most.resident, o.most.unread = max(o.most.resident, resident), max(o.most.unread, unread)
	o.most.both, o.most.descriptors = max(o.most.both, resident+unread), max(o.most.descriptors, len(files))
}

// statusBytes returns a field of the process's status file in bytes. It fails if the process has ended.
func (p Process) statusBytes(field string) (int64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.PID), "status"))
	if err != nil {
		return 0, err
	}
	_, after, found := strings.Cut(string(text), field)
	if !found {
		return 0, os.ErrProcessDone
	}
	value, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	kilobytes, err := strconv.ParseInt(value, 10, 64)
	return kilobytes << 10, err
}

// unreadBytes returns the bytes that wait in the receive buffers of connections to the addresses.
func unreadBytes(addresses []string) int64 {
	local := map[string]bool{}
	for _, address := range addresses {
		_, port, _ := strings.Cut(address, ":")
		if number, err := strconv.Atoi(port); err == nil {
			local[fmt.Sprintf("0100007F:%04X", number)] = true
		}
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := int64(0)
	for line := range strings.Lines(string(text)) {
		// The fields are number, local address, remote address, state, and the queues in hexadecimal as SEND:RECEIVE. The receive
		// queue of a listener (state 0A) counts connections.
		fields := strings.Fields(line)
		if len(fields) < 5 || !local[fields[1]] || fields[3] == "0A" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if size, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += size
		}
	}
	return sum
}
