package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/platform/wire"
)

// callerStream is a stream as its caller sees it, over all of the caller's tries.
type callerStream struct {
	count    int
	last     int
	versions []string
	// began is the attempt that brought the first event.
	began string
	// takenUp is set if the stream was taken up at a host that answered, and wentOn if that brought an event.
	takenUp, wentOn bool
	// disorder is set if an event is missing or comes twice.
	disorder bool
}

// read reads the events of one try, and reports whether the stream is complete. onFirst may be nil.
func (s *callerStream) read(response *http.Response, id string, onFirst func()) bool {
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			event, err := strconv.Atoi(text)
			s.disorder = s.disorder || err != nil || event != s.last+1
			s.last = event
			if s.began == "" {
				s.began = id
			}
		}
		if version, found := strings.CutPrefix(lines.Text(), "data: "); found {
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
			if onFirst != nil {
				onFirst()
				onFirst = nil
			}
		}
	}
	return lines.Err() == nil && s.last >= s.count
}

// try sends the request to the host once, and reports whether the stream is complete.
func (s *callerStream) try(ctx context.Context, h *hostProcess, onFirst func()) (complete bool, retryAfter time.Duration) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+"/draft/x", strings.NewReader("{}"))
	if err != nil {
		return false, 0
	}
	id := fmt.Sprintf("%016x", h.platform.requests.Add(1))
	request.Host = "a.example"
	deadline, _ := ctx.Deadline()
	for name, value := range map[string]string{
		wire.RequestID: id, wire.Deadline: strconv.FormatInt(time.Until(deadline).Milliseconds(), 10), wire.Tokens: "300,8",
		wire.PromptParts: id + ":300", wire.Authorization: wire.BearerScheme + " k1", eventCountHeader: strconv.Itoa(s.count),
	} {
		request.Header.Set(name, value)
	}
	before := s.last
	if before > 0 {
		request.Header.Set(wire.LastEvent, strconv.Itoa(before))
		request.Header.Set(wire.Resumes, s.began)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false, 0
	}
	defer response.Body.Close()
	s.takenUp = s.takenUp || before > 0
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get(wire.RetryAfter), 64)
		return false, time.Duration(seconds * float64(time.Second))
	}
	complete = s.read(response, id, onFirst)
	s.wentOn = s.wentOn || before > 0 && s.last > before
	return complete, 0
}

// versionTroubles crashes engines, which come back with the same version or another one, under the same id or a new one, kills and
// freezes hosts, and takes the store away.
type versionTroubles struct {
	fleet  *fleet
	hosts  []*hostProcess
	random *rand.Rand
	ids    int
}

func (v *versionTroubles) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(v.duration(100, 400)):
		}
		switch draw := v.random.IntN(100); {
		case draw < 45:
			v.replaceEngine()
		case draw < 70:
			h := v.hosts[v.random.IntN(len(v.hosts))]
			h.kill()
			<-time.After(v.duration(50, 500))
			h.start()
		case draw < 80:
			v.fleet.store.Fail(http.StatusServiceUnavailable)
			<-time.After(v.duration(300, 1500))
			v.fleet.store.Fail(0)
		case draw < 90:
			process := v.hosts[v.random.IntN(len(v.hosts))].command.Process
			_ = process.Signal(syscall.SIGSTOP)
			<-time.After(v.duration(100, 800))
			_ = process.Signal(syscall.SIGCONT)
		}
	}
}

func (v *versionTroubles) replaceEngine() {
	e := v.fleet.engines[v.random.IntN(len(v.fleet.engines))]
	e.mu.Lock()
	id, version := e.id, e.version
	e.mu.Unlock()
	if v.random.IntN(2) == 0 {
		v.ids++
		id = winch.EndpointID(fmt.Sprintf("e-%d", v.ids))
	}
	if v.random.IntN(3) == 0 {
		version = []string{"v1", "v1.1", "v1.2"}[v.random.IntN(3)]
	}
	e.replace(id, version, v.duration(50, 500), v.duration(0, 250))
}

func (v *versionTroubles) duration(least, most int) time.Duration {
	return time.Duration(least+v.random.IntN(most-least)) * time.Millisecond
}
