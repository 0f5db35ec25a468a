package faults

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/arbutuswinch/winch/httpjson"
)

const (
	operatorTimeout   = 3 * time.Second
	operatorPause     = 100 * time.Millisecond
	operatorPairCount = 2
)

// keyState is the state of a key as the operators know it.
type keyState int

const (
	keyAccepted keyState = iota
	// keyWithdrawing is the state from before the withdrawal is sent until it is accepted.
	keyWithdrawing
	keyWithdrawn
)

// keyTracker tracks the states of the keys that operators add, and the newest accepted revision.
type keyTracker struct {
	mu             sync.Mutex
	order          []string
	states         map[string]keyState
	newestAccepted int64
}

func (k *keyTracker) set(key string, state keyState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.states[key]; !known {
		k.order = append(k.order, key)
	}
	k.states[key] = state
}

func (k *keyTracker) state(key string) keyState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.states[key]
}

// pick returns a random one of the newest keys.
func (k *keyTracker) pick(random *rand.Rand) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.order) == 0 {
		return "", false
	}
	newest := k.order[max(0, len(k.order)-2*operatorPairCount):]
	return newest[random.IntN(len(newest))], true
}

func (k *keyTracker) setAccepted(accepted int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newestAccepted = max(k.newestAccepted, accepted)
}

func (k *keyTracker) acceptedRevision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestAccepted
}

// operatorPair simulates two operators at different hosts who send competing notes about the same keys.
type operatorPair struct {
	*combinedRun
	name   string
	random *rand.Rand
	apis   map[string]*httpjson.Client
}

// startOperators starts the operator pairs in the group.
func (r *combinedRun) startOperators(seed uint64, group *sync.WaitGroup) {
	for i := range operatorPairCount {
		p := &operatorPair{
			combinedRun: r, name: fmt.Sprintf("pair%d", i), apis: r.operatorClients(),
			random: rand.New(rand.NewPCG(seed, 100+uint64(i))),
		}
		group.Go(func() {
			for round := 0; !r.isDone(); round++ {
				p.round(fmt.Sprintf("%s-%d", p.name, round))
			}
		})
	}
}

// operatorClients returns operator API clients with a short timeout, for hosts that may be frozen.
func (r *combinedRun) operatorClients() map[string]*httpjson.Client {
	clients := map[string]*httpjson.Client{}
	for _, h := range r.hosts {
		client, err := httpjson.NewClient(httpjson.Options{Address: h.operator, Secret: operatorSecret, Timeout: operatorTimeout})
		if err == nil {
			clients[h.id] = client
		}
	}
	return clients
}

func (r *combinedRun) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// round adds a key and withdraws it, each by two competing notes.
func (p *operatorPair) round(key string) {
	added := p.race("add-"+key, jsonObject{"Added": jsonObject{
		"Keys": []jsonObject{{"ID": key, "Organisation": "stores", "Hash": keyHash(key)}},
	}})
	if added.Revision == 0 {
		return
	}
	p.keys.set(key, keyAccepted)
	// For a random time callers use the key.
	for range 3 + p.random.IntN(5) {
		time.Sleep(operatorPause)
	}
	p.keys.set(key, keyWithdrawing)
	if p.race("withdraw-"+key, jsonObject{"Withdrawn": jsonObject{"Keys": []string{key}}}).Revision > 0 {
		p.keys.set(key, keyWithdrawn)
	}
}

// race sends two notes with the same change to two hosts, and returns the accepted one. Both are
// based on the newest accepted revision, so that the later one conflicts with the first.
func (p *operatorPair) race(name string, change jsonObject) noteStatus {
	base, first := p.keys.acceptedRevision(), p.random.IntN(len(p.hosts))
	starts := []int{first, (first + 1 + p.random.IntN(len(p.hosts)-1)) % len(p.hosts)}
	results, group := make([]noteStatus, len(starts)), sync.WaitGroup{}
	for i, start := range starts {
		note := jsonObject{"ID": fmt.Sprintf("%s-%d", name, i), "Base": base}
		for field, value := range change {
			note[field] = value
		}
		group.Go(func() { results[i] = p.submit(start, note) })
	}
	group.Wait()
	if p.ctx.Err() != nil {
		return noteStatus{}
	}
	p.records.countRun(promiseRaces)
	won := slices.DeleteFunc(results, func(status noteStatus) bool { return status.Revision == 0 })
	if len(won) != 1 {
		p.records.addViolation(promiseRaces, "of the two competing notes %s, %d were committed", name, len(won))
		return noteStatus{}
	}
	return p.awaitAcceptance(won[0])
}

// submit sends the note until its outcome is known, with two attempts at each host. It returns the
// note's status, or an empty one if the note was rejected.
func (p *operatorPair) submit(start int, note jsonObject) noteStatus {
	for try := 0; p.ctx.Err() == nil; try++ {
		h, status := p.hosts[(start+try/2)%len(p.hosts)], noteStatus{}
		err := p.apis[h.id].Call(p.ctx, "/operator/notes", note, &status)
		if err == nil {
			return status
		}
		if apiError, found := httpjson.StatusOf(err); found && (apiError.Status == http.StatusConflict || apiError.Status == http.StatusBadRequest) {
			p.t.Logf("note %s was rejected by %s: %v", note["ID"], h.id, err)
			return noteStatus{}
		}
		time.Sleep(operatorPause)
	}
	return noteStatus{}
}

// awaitAcceptance asks one host after another until one reports that the note is accepted.
func (p *operatorPair) awaitAcceptance(won noteStatus) noteStatus {
	for try := 0; p.ctx.Err() == nil; try++ {
		h, status := p.hosts[try%len(p.hosts)], noteStatus{}
		err := p.apis[h.id].Fetch(p.ctx, "/operator/notes/"+won.Note, &status)
		if err == nil && status.Revision != won.Revision {
			p.records.addViolation(promiseRaces, "note %s has revision %d, but %d according to %s", won.Note, won.Revision, status.Revision, h.id)
		}
		if err == nil && status.Accepted {
			p.keys.setAccepted(status.Revision)
			return status
		}
		time.Sleep(operatorPause)
	}
	return noteStatus{}
}

// startWatchers starts watching the revision of each host in the group.
func (r *combinedRun) startWatchers(group *sync.WaitGroup) {
	for _, h := range r.hosts {
		group.Go(func() { r.watchRevision(h, r.operatorClients()[h.id]) })
	}
}

// watchRevision checks that the revision of a process never decreases.
func (r *combinedRun) watchRevision(h *host, api *httpjson.Client) {
	newest, restarts := int64(0), 0
	for !r.isDone() {
		before, response := r.availability.state(h), struct{ Revision int64 }{}
		err := api.Fetch(r.ctx, "/operator/hosts", &response)
		if after := r.availability.state(h); err == nil && before.up && before == after {
			if after.restarts != restarts {
				newest, restarts = 0, after.restarts
			}
			r.records.countRun(promiseNoRevert)
			if response.Revision < newest {
				r.records.addViolation(promiseNoRevert, "%s went from revision %d to %d", h.id, newest, response.Revision)
			}
			newest = max(newest, response.Revision)
		}
		time.Sleep(operatorPause)
	}
}
