package endpoint

import (
	"fmt"
	"math"
	"time"

	"github.com/arbutuswinch/winch"
)

// fleetClass is a class of requests of a simulated fleet.
type fleetClass struct {
	id       winch.ClassID
	tier     winch.Tier
	target   time.Duration
	deadline time.Duration
	perHost  float64 // requests per second of one host
	own      winch.Tokens
	shared   winch.Tokens
	subjects int // number of different shared parts
	output   int // tokens
	// interToken is the target for the time between tokens; zero if the class has none.
	interToken time.Duration
}

// fleetClasses is a load of long prompts, short questions and chats. All hosts together send 254, 235 and 120 a second.
var fleetClasses = []fleetClass{
	{id: "chat", tier: 1, target: 300 * time.Millisecond, deadline: 15 * time.Second, perHost: 2, own: 543, shared: 172, subjects: 300, output: 280},
	{id: "advice", tier: 2, target: 500 * time.Millisecond, deadline: 4 * time.Second, perHost: 3.92, own: 1800, shared: 568, subjects: 500, output: 25},
	{id: "plan", tier: 3, target: 1500 * time.Millisecond, deadline: 6 * time.Second, perHost: 4.23, own: 2890, shared: 6300, subjects: 700, output: 50},
}

// fleetRequest is a request at a simulated engine.
type fleetRequest struct {
	r        *request
	host     int
	class    *fleetClass
	sent     time.Time
	subject  winch.PrefixHash
	prefill  winch.Tokens
	output   float64
	made     float64 // tokens of output
	started  bool
	late     bool // the first token came after the target
	finished bool
}

// fleetCounts are the outcomes of the requests of a class, by the second in which they were sent.
type fleetCounts struct {
	sent, began, served, refused, rejected, expired int
	// onTime are the served ones whose first token came within the target of their class.
	onTime int
}

func (f *fleet) arrivals() {
	for i := range f.classes {
		class := &f.classes[i]
		f.due[i] += class.perHost * float64(len(f.cores)) * fleetStep.Seconds() * 2 * f.random.Float64()
		for ; f.due[i] >= 1; f.due[i]-- {
			f.send(class, f.random.IntN(len(f.cores)))
		}
	}
}

func (f *fleet) send(class *fleetClass, host int) {
	f.nextID++
	q := &fleetRequest{host: host, class: class, sent: f.now, subject: winch.PrefixHash(int(class.tier)*10_000 + f.random.IntN(class.subjects)), output: float64(class.output)}
	if f.hotShare > 0 && class.shared == f.classes[len(f.classes)-1].shared && f.paces.Float64() < f.hotShare {
		q.subject = hotSubject
	}
	f.count(q).sent++
	work := winch.Work{
		Request: winch.RequestID(fmt.Sprint(f.nextID)), Class: class.id, Model: promptModel, InputTokens: class.own + class.shared,
		Parts:   []winch.PromptPart{{ID: q.subject, Tokens: class.shared}, {ID: winch.PrefixHash(1_000_000 + f.nextID), Tokens: class.own}},
		Arrived: f.now, Deadline: f.now.Add(class.deadline), NotResumable: true,
	}
	if f.hints != nil {
		work.OutputTokens, work.OutputHint = winch.Tokens(8*class.output), winch.Tokens(f.hint(class))
	}
	c := f.cores[host]
	q.r = c.arrive(f.now, work, nil, &progress{})
	f.open[q.r] = q
	f.apply(host)
}

// hint returns the caller's estimate of the output, which is right at the median but in two of five requests off by up to a factor of 8.
func (f *fleet) hint(class *fleetClass) float64 {
	hint := float64(class.output)
	if f.hints.IntN(5) < 2 {
		hint *= math.Pow(8, 2*f.hints.Float64()-1)
	}
	return hint
}

func (f *fleet) count(q *fleetRequest) *fleetCounts {
	second := int(q.sent.Sub(f.start) / time.Second)
	bySecond := f.counts[q.class.id]
	if bySecond[second] == nil {
		bySecond[second] = &fleetCounts{}
	}
	return bySecond[second]
}

// total sums the class's counts of the seconds from begin up to end.
func (f *fleet) total(class winch.ClassID, begin, end int) fleetCounts {
	sum := fleetCounts{}
	for second := begin; second < end; second++ {
		if counts := f.counts[class][second]; counts != nil {
			sum.sent += counts.sent
			sum.began += counts.began
			sum.served += counts.served
			sum.refused += counts.refused
			sum.rejected += counts.rejected
			sum.expired += counts.expired
			sum.onTime += counts.onTime
		}
	}
	return sum
}

func (c fleetCounts) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// neededEngines is how many engines the load of fleetClasses keeps busy without shared parts.
func neededEngines(hosts int) float64 {
	tokens := 0.0
	for _, class := range fleetClasses {
		tokens += class.perHost * float64(hosts) * float64(class.own)
	}
	return tokens / (fleetPrefill / fleetStep.Seconds())
}
