package bench

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/arbutuswinch/winch/winchload/result"
)

// clockTicks is how many ticks a second has in the kernel's process times.
const clockTicks = 100

// process is a program that the bench started.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	first   chan string
	ended   chan struct{}
	// cpu is the processor time before the run.
	cpu float64
}

// startProcess starts the program; its output goes to a log file in the directory.
func startProcess(directory, name, program string, arguments ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	command := exec.Command(program, arguments...)
	command.Stderr = log
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("open output of %s: %w", name, err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, command: command, log: log, first: make(chan string, 1), ended: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		if lines.Scan() {
			p.first <- lines.Text()
		}
		for lines.Scan() {
			_, _ = fmt.Fprintln(log, lines.Text())
		}
		_ = command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// firstLine waits for the first line of output.
func (p *process) firstLine(ctx context.Context) (string, error) {
	select {
	case line := <-p.first:
		return line, nil
	case <-p.ended:
		return "", fmt.Errorf("%s ended at once: see %s", p.name, p.log.Name())
	case <-ctx.Done():
		return "", fmt.Errorf("wait for %s: %w", p.name, ctx.Err())
	}
}

// running tells whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop asks the process to end, and kills it when it has not after the grace.
func (p *process) stop(grace time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		_ = p.command.Process.Kill()
		<-p.ended
	}
	_ = p.log.Close()
}

// kill ends the process without a warning.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
	_ = p.log.Close()
}

// pause stops the process for a while, as a host that is suspended.
func (p *process) pause(duration time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// mark remembers the processor time, from which cost counts.
func (p *process) mark() { p.cpu = p.cpuTime() }

// cost returns the processor time since the mark, and the memory.
func (p *process) cost() result.Process {
	return result.Process{Name: p.name, CPU: p.cpuTime() - p.cpu, Memory: p.memory()}
}

func (p *process) cpuTime() float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	// The fields after the name: state is the first, user and system time the 12th and 13th.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

func (p *process) memory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
