package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case "spliced-answer": faulty runners send the beginning of an additional response where the answer to the next request is expected.

const (
	// spliceRate is the number of requests a second, and spliceTime for how long they are sent.
	spliceRate = 800
	spliceTime = 16 * time.Second
	// spliceFor is for how long runners are faulty, twice, each time after spliceCalm.
	spliceCalm = 2 * time.Second
	spliceFor  = 5 * time.Second
	// spliceRunners is the number of runners, spliceFaulty that of faulty ones, and spliceShare the share of their answers that are followed by
	// additional bytes: { kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 } of the site file.
	spliceRunners = 5
	spliceFaulty  = 3
	spliceShare   = 0.03
	// spliceErrors is the share of the requests that may be repeated which end with 500: error_share of stock-lookup in the site file.
	spliceErrors = 0.14
)

// deskRun is a run of a request, and what the runner answers.
type deskRun struct {
	id, runner, signature string
	status                int
	body                  []byte
	// before is what the runner sent on the connection ahead of the answer.
	before string
}

type desk struct {
	w      *World
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string][]*deskRun
	faulty bool
	extras int
}

func (d *desk) chance(share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
}

func (d *desk) number(below int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Intn(below)
}

func splicedAnswer(w *World) (broken []string) {
	d := &desk{w: w, random: rand.New(rand.NewSource(time.Now().UnixNano())), runs: map[string][]*deskRun{}}
	for i := range spliceRunners {
		l, err := net.Listen("tcp", "127.0.61.1:0")
		check(err)
		id := fmt.Sprintf("i-%d", i+1)
		go d.accept(id, l, i < spliceFaulty)
		w.register(id, "desk", l.Addr().String(), 16, false)
	}
	w.configure(1, []string{"desk"},
		route("look", "idempotent", "desk", `,"timeout_ms":2000,"target_latency_ms":300,"max_attempts":2`))
	w.startHosts(2)
	go func() {
		for range 2 {
			time.Sleep(spliceCalm)
			d.setFaulty(w.trouble)
			time.Sleep(spliceFor)
			d.setFaulty(false)
		}
	}()
	group, statuses := sync.WaitGroup{}, map[int]int{}
	for i := range int(spliceRate * spliceTime.Seconds()) {
		group.Go(func() {
			status, line := d.send(w.hosts[i%2], fmt.Sprintf("q-%d", i+1))
			d.mu.Lock()
			defer d.mu.Unlock()
			statuses[status]++
			if line != "" {
				broken = append(broken, line)
			}
		})
		time.Sleep(time.Second / spliceRate)
	}
	group.Wait()
	w.note("clients got %v", statuses)
	w.note("%d times additional bytes", d.extras)
	return broken
}

func (d *desk) setFaulty(faulty bool) {
	d.mu.Lock()
	d.faulty = faulty
	d.mu.Unlock()
	d.w.note("runners are faulty: %v", faulty)
}

// send sends a request on a connection of its own, and compares the answer with what the runners did.
func (d *desk) send(h *Host, id string) (status int, broken string) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	check(conn.SetDeadline(time.Now().Add(4 * time.Second)))
	fmt.Fprintf(conn, page("GET /look/x HTTP/1.1\r\nHost: a.example\r\n{id}: %s\r\n{deadline}: 4000\r\nAuthorization: Bearer k1\r\n\r\n"), id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	answer, err := io.ReadAll(response.Body)
	signature := response.Header.Get(page("{signature}"))
	if err != nil || signature == "" {
		return response.StatusCode, ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, run := range d.runs[id] {
		if run.signature == signature && (run.status != response.StatusCode || !bytes.Equal(run.body, answer)) {
			d.w.note("client got %d %q for %s", response.StatusCode, answer, id)
			d.w.note("runner %s ran %s and answered %d %q, after the bytes %q on the connection", run.runner, id, run.status, run.body, run.before)
			return response.StatusCode, fmt.Sprintf("MIXED: %s got %d with the signature of a runner that answered %d", id, response.StatusCode, run.status)
		}
	}
	return response.StatusCode, ""
}

func (d *desk) accept(id string, l net.Listener, faulty bool) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go d.serve(id, conn, faulty)
	}
}

// serve serves a connection. The bytes that a faulty runner adds to an answer come late: when the next request has run.
func (d *desk) serve(id string, conn net.Conn, faulty bool) {
	defer conn.Close()
	reader, extra := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		attempt := request.Header.Get(page("{id}"))
		if request.Header.Get(page("{expect}")) != id {
			fmt.Fprintf(conn, page("HTTP/1.1 421 Misdirected Request\r\n{runner}: %s\r\nContent-Length: 0\r\n\r\n"), id)
			continue
		}
		time.Sleep(time.Duration(5+d.number(20)) * time.Millisecond)
		run := &deskRun{id: attempt, runner: id, signature: id + "." + attempt, status: 200, before: extra}
		text := "OK"
		if d.chance(spliceErrors) {
			run.status, text = 500, "Internal Server Error"
		}
		run.body = fmt.Appendf(nil, "%s says %d to %s", id, run.status, attempt)
		head := fmt.Sprintf(page("HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nKeep-Alive: timeout=5\r\n"+
			"{load}: 1,0,16\r\n{id}: %s\r\n{signature}: %s\r\nContent-Length: %d\r\n\r\n"),
			run.status, text, time.Now().UTC().Format(http.TimeFormat), attempt, run.signature, len(run.body))
		d.mu.Lock()
		d.runs[attempt] = append(d.runs[attempt], run)
		d.mu.Unlock()
		if _, err := io.WriteString(conn, extra+head+string(run.body)); err != nil {
			return
		}
		extra = ""
		if d.addsBytes(faulty) {
			// The additional response is the same again, and is truncated somewhere in its head.
			extra = head[:1+d.number(strings.Index(head, "\r\n\r\n"))]
		}
	}
}

func (d *desk) addsBytes(faulty bool) bool {
	if !d.chance(spliceShare) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !faulty || !d.faulty {
		return false
	}
	d.extras++
	return true
}
