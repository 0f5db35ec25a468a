package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutuswinch/winch"
)

// What a change of the configuration or of the list of endpoints means for the lanes is computed before the dispatcher's lock is taken, so that
// requests do not wait for it. Lanes with the same endpoints share the lists of these endpoints and of their competitors: the work and the memory
// grow with the sum of the numbers of classes and endpoints and not with their product.

// layout is the arrangement of lanes and endpoints that follows from a configuration and a list of endpoints. It is immutable.
type layout struct {
	configuration *winch.Configuration
	// statuses are the endpoints that the host uses, by ID, and listed says whether the platform's list has any.
	statuses []winch.EndpointStatus
	listed   bool
	lanes    *laneLayout
}

// laneLayout holds the lanes and the endpoints that they share. Endpoints are given by their index in layout.statuses, lanes by theirs in lanes.
type laneLayout struct {
	lanes        []laneSpec // by tier, then class and group
	endpointSets []endpointSetSpec
	// laneSets are lists of lanes, and laneSetOf is the index of each endpoint's list.
	laneSets  [][]int
	laneSetOf []int
	input     layoutInput
}

// laneSpec describes a lane. endpointSet is the index of the set that holds its endpoints.
type laneSpec struct {
	key         laneKey
	class       winch.Class
	endpointSet int
}

// endpointSetSpec describes the endpoints that lanes share.
type endpointSetSpec struct {
	// endpoints are by ID, ring by hash.
	endpoints, ring []int
	// competitors are the lanes that share an endpoint with those of the set; none if it has no endpoints.
	competitors []int
	targets     targetRange
}

// targetRange sums up the latency targets of lanes; see lane.setLatencySensitive. Zero means that no lane has such a target.
type targetRange struct {
	shortestFirstToken, longestFirstToken, shortestInterToken time.Duration
}

// layoutInput is what a laneLayout depends on.
type layoutInput struct {
	configuration *winch.Configuration
	offers        []offer
}

// offer is what an endpoint serves and the classes that may use it. An empty list of classes means all.
type offer struct {
	endpoint winch.EndpointID
	models   []winch.ModelID
	routes   []winch.RouteID
	classes  []winch.ClassID
}

func offerOf(spec *winch.Endpoint) offer {
	return offer{endpoint: spec.ID, models: spec.Models, routes: spec.Routes, classes: spec.Classes}
}

func (o *offer) equal(other *offer) bool {
	return o.endpoint == other.endpoint && slices.Equal(o.models, other.models) && slices.Equal(o.routes, other.routes) &&
		slices.Equal(o.classes, other.classes)
}

// key identifies the lanes that the endpoint serves.
func (o *offer) key() string {
	text := strings.Builder{}
	add := func(name string) {
		text.WriteString(strconv.Itoa(len(name)))
		text.WriteByte(':')
		text.WriteString(name)
	}
	for _, model := range o.models {
		add(string(model))
	}
	text.WriteByte('/')
	for _, route := range o.routes {
		add(string(route))
	}
	text.WriteByte('/')
	for _, class := range o.classes {
		add(string(class))
	}
	return text.String()
}

// equal reports whether both lead to the same layout of lanes.
func (i *layoutInput) equal(other *layoutInput) bool {
	if !slices.EqualFunc(i.offers, other.offers, func(a, b offer) bool { return a.equal(&b) }) {
		return false
	}
	if i.configuration == other.configuration {
		return true
	}
	return maps.EqualFunc(i.configuration.Classes, other.configuration.Classes, sameClass) &&
		maps.Equal(i.configuration.Routes, other.configuration.Routes) &&
		maps.EqualFunc(i.configuration.Endpoints, other.configuration.Endpoints, sameOffer)
}

func sameClass(a, b winch.Class) bool {
	return a.ID == b.ID && a.Tier == b.Tier && a.FirstTokenTarget == b.FirstTokenTarget && a.InterTokenTarget == b.InterTokenTarget &&
		a.MaxWait == b.MaxWait && a.QueueLimit == b.QueueLimit && a.Floor == b.Floor && a.Open == b.Open && slices.Equal(a.Models, b.Models)
}

func sameOffer(a, b winch.Endpoint) bool {
	first, second := offerOf(&a), offerOf(&b)
	return first.equal(&second)
}

// newLayout returns the layout for a host of the data centre. The host uses the endpoints of all data centres if it has none of its own, or if
// it has a home. The lanes of the previous layout, if not nil, are kept if they are still valid.
func newLayout(own, home winch.DataCentreID, configuration *winch.Configuration, ordered []winch.EndpointStatus, previous *layout) *layout {
	wanted := make(map[winch.EndpointID]winch.EndpointStatus, len(configuration.Endpoints)+len(ordered))
	for id, spec := range configuration.Endpoints {
		wanted[id] = winch.EndpointStatus{Endpoint: spec, State: winch.EndpointReady}
	}
	for _, status := range ordered {
		wanted[status.Endpoint.ID] = status
	}
	l := &layout{configuration: configuration, listed: len(ordered) > 0}
	for _, status := range wanted {
		if status.Endpoint.DataCentre == own || own == "" || home != "" {
			l.statuses = append(l.statuses, status)
		}
	}
	slices.SortFunc(l.statuses, func(a, b winch.EndpointStatus) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	input := layoutInput{configuration: configuration, offers: make([]offer, 0, len(l.statuses))}
	for i := range l.statuses {
		input.offers = append(input.offers, offerOf(&l.statuses[i].Endpoint))
	}
	if previous != nil && previous.lanes.input.equal(&input) {
		l.lanes = previous.lanes
		return l
	}
	l.lanes = newLaneLayout(input)
	return l
}

// layoutBuilder collects the lanes of a layout. It identifies them by their order of creation, and the result by their final order.
type layoutBuilder struct {
	configuration *winch.Configuration
	// ofModel are the classes that may use each model, and ofAll those that may use any.
	ofModel map[winch.ModelID][]winch.ClassID
	ofAll   []winch.ClassID
	lanes   []laneSpec
	index   map[laneKey]int
	// sets maps the key of each offer to the lanes of the endpoints that make it.
	sets map[string]*offerSet
}

// offerSet is a list of lanes, with the endpoints that serve all of them and no others.
type offerSet struct {
	number    int
	lanes     []int
	endpoints []int
}

func newLaneLayout(input layoutInput) *laneLayout {
	b := &layoutBuilder{
		configuration: input.configuration, ofModel: map[winch.ModelID][]winch.ClassID{}, index: map[laneKey]int{}, sets: map[string]*offerSet{},
	}
	for id, class := range input.configuration.Classes {
		if len(class.Models) == 0 {
			b.ofAll = append(b.ofAll, id)
		}
		for _, model := range class.Models {
			b.ofModel[model] = append(b.ofModel[model], id)
		}
	}
	var used []*offerSet
	result := &laneLayout{input: input}
	for i := range input.offers {
		set := b.set(&input.offers[i])
		if len(set.endpoints) == 0 {
			set.number = len(used)
			used = append(used, set)
		}
		set.endpoints = append(set.endpoints, i)
		result.laneSetOf = append(result.laneSetOf, set.number)
	}
	// Models and routes that only endpoints of other data centres serve have lanes as well, since their requests can be handed over.
	for _, spec := range input.configuration.Endpoints {
		remote := offerOf(&spec)
		b.set(&remote)
	}
	b.sortLanes()
	result.lanes = b.lanes
	for _, set := range used {
		result.laneSets = append(result.laneSets, set.lanes)
	}
	result.addEndpointSets(used)
	return result
}

// set returns the lanes of endpoints with the offer.
func (b *layoutBuilder) set(o *offer) *offerSet {
	key := o.key()
	if known, found := b.sets[key]; found {
		return known
	}
	set := &offerSet{}
	b.sets[key] = set
	allowed := map[winch.ClassID]bool{}
	for _, id := range o.classes {
		allowed[id] = true
	}
	seen := map[int]bool{}
	add := func(id winch.ClassID, g group) {
		class, found := b.configuration.Classes[id]
		if !found || len(allowed) > 0 && !allowed[id] {
			return
		}
		if lane := b.lane(class, g); !seen[lane] {
			seen[lane] = true
			set.lanes = append(set.lanes, lane)
		}
	}
	for _, model := range o.models {
		for _, id := range b.ofAll {
			add(id, group{model: model})
		}
		for _, id := range b.ofModel[model] {
			add(id, group{model: model})
		}
	}
	for _, route := range o.routes {
		add(b.configuration.Routes[route].Class, group{route: route})
	}
	return set
}

func (b *layoutBuilder) lane(class winch.Class, g group) int {
	key := laneKey{class: class.ID, group: g}
	known, found := b.index[key]
	if !found {
		known = len(b.lanes)
		b.index[key] = known
		b.lanes = append(b.lanes, laneSpec{key: key, class: class})
	}
	return known
}

// sortLanes sorts the lanes, and renumbers those of the sets.
func (b *layoutBuilder) sortLanes() {
	order := make([]int, len(b.lanes))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return compareLanes(&b.lanes[i].class, b.lanes[i].key.group, &b.lanes[j].class, b.lanes[j].key.group)
	})
	sorted, renumbered := make([]laneSpec, len(order)), make([]int, len(order))
	for i, before := range order {
		sorted[i], renumbered[before] = b.lanes[before], i
	}
	b.lanes = sorted
	for _, set := range b.sets {
		for i, before := range set.lanes {
			set.lanes[i] = renumbered[before]
		}
		slices.Sort(set.lanes)
	}
}

// compareLanes orders lanes by tier, then class, then group, models before routes.
func compareLanes(a *winch.Class, aGroup group, b *winch.Class, bGroup group) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.ID, b.ID), cmp.Compare(aGroup.route, bGroup.route), cmp.Compare(aGroup.model, bGroup.model))
}

// addEndpointSets adds a set of endpoints for each combination of offers that some lane belongs to.
func (l *laneLayout) addEndpointSets(sets []*offerSet) {
	setsOf := make([][]*offerSet, len(l.lanes))
	for _, set := range sets {
		for _, lane := range set.lanes {
			setsOf[lane] = append(setsOf[lane], set)
		}
	}
	known := map[string]int{}
	for lane := range l.lanes {
		key := []byte{}
		for _, set := range setsOf[lane] {
			key = strconv.AppendInt(append(key, ' '), int64(set.number), 10)
		}
		index, found := known[string(key)]
		if !found {
			index = len(l.endpointSets)
			known[string(key)] = index
			l.endpointSets = append(l.endpointSets, l.newEndpointSet(setsOf[lane]))
		}
		l.lanes[lane].endpointSet = index
	}
}

// newEndpointSet returns the endpoints of lanes that belong to the offers.
func (l *laneLayout) newEndpointSet(sets []*offerSet) endpointSetSpec {
	result := endpointSetSpec{}
	for _, set := range sets {
		result.endpoints = append(result.endpoints, set.endpoints...)
		result.competitors = append(result.competitors, set.lanes...)
	}
	slices.Sort(result.endpoints)
	slices.Sort(result.competitors)
	result.competitors = slices.Compact(result.competitors)
	hashes := make(map[int]uint64, len(result.endpoints))
	for _, e := range result.endpoints {
		hashes[e] = hashOf(string(l.input.offers[e].endpoint))
	}
	result.ring = slices.Clone(result.endpoints)
	slices.SortStableFunc(result.ring, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	for _, competitor := range result.competitors {
		result.targets.add(&l.lanes[competitor].class)
	}
	return result
}

func (t *targetRange) add(class *winch.Class) {
	if target := class.FirstTokenTarget; target > 0 {
		if t.shortestFirstToken == 0 || target < t.shortestFirstToken {
			t.shortestFirstToken = target
		}
		t.longestFirstToken = max(t.longestFirstToken, target)
	}
	if target := class.InterTokenTarget; target > 0 && (t.shortestInterToken == 0 || target < t.shortestInterToken) {
		t.shortestInterToken = target
	}
}
