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

// clockTicks is the number of clock ticks per second in /proc/PID/stat (USER_HZ).
const clockTicks = 100

// process is a child process whose standard error, and standard output after the
// first line, go to a log file. The first line is held back because the stand-ins print
// their addresses there.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	// first receives the first line of standard output.
	first chan string
	// exited is closed when the process has exited.
	exited chan struct{}
	// cpuBase is the CPU time in seconds at the last call of resetCPUTime.
	cpuBase float64
}

// startProcess starts the program and appends its output to NAME.log in the directory.
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
	p := &process{name: name, command: command, log: log, first: make(chan string, 1), exited: make(chan struct{})}
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
		close(p.exited)
	}()
	return p, nil
}

// firstLine waits for the first line of standard output and returns it.
func (p *process) firstLine(ctx context.Context) (string, error) {
	select {
	case line := <-p.first:
		return line, nil
	case <-p.exited:
		return "", fmt.Errorf("%s exited without output: see %s", p.name, p.log.Name())
	case <-ctx.Done():
		return "", fmt.Errorf("wait for first output line of %s: %w", p.name, ctx.Err())
	}
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stop sends SIGTERM, and SIGKILL if the process has not exited after the grace period.
func (p *process) stop(grace time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		_ = p.command.Process.Kill()
		<-p.exited
	}
	_ = p.log.Close()
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
	_ = p.log.Close()
}

// pause suspends the process with SIGSTOP for the duration.
func (p *process) pause(duration time.Duration) {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// resetCPUTime makes cost count CPU time from now on.
func (p *process) resetCPUTime() { p.cpuBase = p.cpuTime() }

// cost returns the CPU time since the last call of resetCPUTime and the peak resident memory.
func (p *process) cost() result.Process {
	return result.Process{Name: p.name, CPU: p.cpuTime() - p.cpuBase, Memory: p.peakMemory()}
}

func (p *process) cpuTime() float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	// The process name in parentheses may contain spaces, so fields are counted after it:
	// the first is the state, the 12th and 13th are user and system time.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

func (p *process) peakMemory() int64 {
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
