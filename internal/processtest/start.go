// Package processtest starts processes that tests stop and continue.
//
// # Usage
//
//	command := exec.Command(os.Args[0])
//	processtest.Start(t, command)
package processtest

import (
	"os/exec"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Start starts the command in a process group of its own. In the group of the test, a stopped process would get a hangup from the
// kernel as soon as the shell that has started the test ends.
func Start(t *testing.T, command *exec.Cmd) {
	t.Helper()
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(t, command.Start())
}
