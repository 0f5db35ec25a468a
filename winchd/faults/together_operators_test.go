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
	operatorTimeout = 3 * time.Second
	operatorPause   = 100 * time.Millisecond
	operatorPairs   = 2
)

// keyState is what the operators heard of a key.
type keyState int

const (
	keyAccepted keyState = iota
	// keyLeaving is from before the withdrawal is sent until it is accepted.
	keyLeaving
	keyWithdrawn
)

// keyRounds are the keys that were added and accepted, and the newest accepted revision.
type keyRounds struct {
	mu     sync.Mutex
	order  []string
	states map[string]keyState
	floor  int64
}

func (k *keyRounds) set(key string, state keyState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.states[key]; !known {
		k.order = append(k.order, key)
	}
	k.states[key] = state
}

func (k *keyRounds) look(key string) keyState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.states[key]
}

// draw returns one of the newest keys.
func (k *keyRounds) draw(random *rand.Rand) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.order) == 0 {
		return "", false
	}
	newest := k.order[max(0, len(k.order)-2*operatorPairs):]
	return newest[random.IntN(len(newest))], true
}

func (k *keyRounds) raise(accepted int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.floor = max(k.floor, accepted)
}

func (k *keyRounds) accepted() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.floor
}

// pair is two operators at different hosts who race with notes about the same keys.
type pair struct {
	*together
	name   string
	random *rand.Rand
	apis   map[string]*httpjson.Client
}

// startOperators starts the pairs; the group ends with them.
func (g *together) startOperators(seed uint64, group *sync.WaitGroup) {
	for i := range operatorPairs {
		p := &pair{
			together: g, name: fmt.Sprintf("pair%d", i), apis: g.shortClients(),
			random: rand.New(rand.NewPCG(seed, 100+uint64(i))),
		}
		group.Go(func() {
			for round := 0; !g.isDone(); round++ {
				p.round(fmt.Sprintf("%s-%d", p.name, round))
			}
		})
	}
}

// shortClients are operators' clients that don't wait long for a host that is frozen.
func (g *together) shortClients() map[string]*httpjson.Client {
	clients := map[string]*httpjson.Client{}
	for _, h := range g.hosts {
		client, err := httpjson.NewClient(httpjson.Options{Address: h.operator, Secret: operatorSecret, Timeout: operatorTimeout})
		if err == nil {
			clients[h.id] = client
		}
	}
	return clients
}

func (g *together) isDone() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// round adds a key and withdraws it, both by two notes that race.
func (p *pair) round(key string) {
	added := p.race("add-"+key, jsonObject{"Added": jsonObject{
		"Keys": []jsonObject{{"ID": key, "Organisation": "stores", "Hash": hashOf(key)}},
	}})
	if added.Revision == 0 {
		return
	}
	p.keys.set(key, keyAccepted)
	for range 3 + p.random.IntN(5) {
		time.Sleep(operatorPause)
	}
	p.keys.set(key, keyLeaving)
	if p.race("withdraw-"+key, jsonObject{"Withdrawn": jsonObject{"Keys": []string{key}}}).Revision > 0 {
		p.keys.set(key, keyWithdrawn)
	}
}

// race sends two notes with the same change at two hosts, and returns the accepted one;
// both name the newest accepted revision, so that the later one clashes with the first.
func (p *pair) race(name string, change jsonObject) noteStatus {
	base, first := p.keys.accepted(), p.random.IntN(len(p.hosts))
	starts := []int{first, (first + 1 + p.random.IntN(len(p.hosts)-1)) % len(p.hosts)}
	results, group := make([]noteStatus, len(starts)), sync.WaitGroup{}
	for i, start := range starts {
		note := jsonObject{"ID": fmt.Sprintf("%s-%d", name, i), "Base": base}
		for field, value := range change {
			note[field] = value
		}
		group.Go(func() { results[i] = p.settle(start, note) })
	}
	group.Wait()
	if p.ctx.Err() != nil {
		return noteStatus{}
	}
	p.records.run(promiseRaces)
	won := slices.DeleteFunc(results, func(status noteStatus) bool { return status.Revision == 0 })
	if len(won) != 1 {
		p.records.violate(promiseRaces, "of the two notes %s %d were committed", name, len(won))
		return noteStatus{}
	}
	return p.waitInForce(won[0])
}

// settle sends the note until an answer tells what became of it: its status, or nothing when it clashed.
func (p *pair) settle(start int, note jsonObject) noteStatus {
	for try := 0; p.ctx.Err() == nil; try++ {
		h, status := p.hosts[(start+try/2)%len(p.hosts)], noteStatus{}
		err := p.apis[h.id].Call(p.ctx, "/operator/notes", note, &status)
		if err == nil {
			return status
		}
		if answer, found := httpjson.StatusOf(err); found && (answer.Status == http.StatusConflict || answer.Status == http.StatusBadRequest) {
			p.t.Logf("note %s was refused by %s: %v", note["ID"], h.id, err)
			return noteStatus{}
		}
		time.Sleep(operatorPause)
	}
	return noteStatus{}
}

// waitInForce asks the hosts in turn until one says that the note is accepted.
func (p *pair) waitInForce(won noteStatus) noteStatus {
	for try := 0; p.ctx.Err() == nil; try++ {
		h, status := p.hosts[try%len(p.hosts)], noteStatus{}
		err := p.apis[h.id].Fetch(p.ctx, "/operator/notes/"+won.Note, &status)
		if err == nil && status.Revision != won.Revision {
			p.records.violate(promiseRaces, "note %s has revision %d, and %d at %s", won.Note, won.Revision, status.Revision, h.id)
		}
		if err == nil && status.Accepted {
			p.keys.raise(status.Revision)
			return status
		}
		time.Sleep(operatorPause)
	}
	return noteStatus{}
}

// startWatchers follow the revision of each host; the group ends with them.
func (g *together) startWatchers(group *sync.WaitGroup) {
	for _, h := range g.hosts {
		group.Go(func() { g.watchRevision(h, g.shortClients()[h.id]) })
	}
}

// watchRevision judges that the revision of one process never falls.
func (g *together) watchRevision(h *host, api *httpjson.Client) {
	newest, process := int64(0), 0
	for !g.isDone() {
		before, answer := g.lives.look(h), struct{ Revision int64 }{}
		err := api.Fetch(g.ctx, "/operator/hosts", &answer)
		if after := g.lives.look(h); err == nil && before.up && before == after {
			if after.processes != process {
				newest, process = 0, after.processes
			}
			g.records.run(promiseReverts)
			if answer.Revision < newest {
				g.records.violate(promiseReverts, "%s went from revision %d to %d", h.id, newest, answer.Revision)
			}
			newest = max(newest, answer.Revision)
		}
		time.Sleep(operatorPause)
	}
}
