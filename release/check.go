package release

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/arbutuswinch/winch"
)

const (
	maxTier       = 100
	maxWeight     = 1000000
	maxQueueLimit = 1000000
	maxSlotLimit  = 100000
	maxPoolSize   = 10000
	// maxFloor is the maximum of a class's floor, and of the sum of the floors of the
	// classes that share an endpoint or a pool.
	maxFloor = 0.5
	// The limits below bound the memory that the configuration uses on each host.
	// maxOtherItems is the limit of the classes, of the routes and of the pools each.
	maxOrganisations = 20000
	maxKeys          = 100000
	maxEndpoints     = 20000
	maxOtherItems    = 2000
)

// checker validates one note. Its maps are keyed by the names of items, such as "Keys[<id>]".
type checker struct {
	errorRecorder
	// next is the configuration as it would be with the note applied.
	next *winch.Configuration
	// notePaths maps each item of the note to its path there, such as "Added.Keys[0]".
	notePaths map[string]string
	// withdrawnPaths is the part of notePaths that the note withdraws.
	withdrawnPaths map[string]string
}

// Check returns an error if the note cannot be applied to the current
// configuration. The error matches winch.ErrInvalid and names the field.
func Check(current *winch.Configuration, note winch.Note) error {
	c := &checker{notePaths: map[string]string{}, withdrawnPaths: map[string]string{}}
	if note.ID == "" {
		c.fail("ID", "is missing")
	}
	if countItems(note.Added)+countItems(note.Changed)+len(itemIDNames(note.Withdrawn)) == 0 {
		c.fail("note", "names no item")
	}
	c.indexItems(current, note)
	if c.err != nil {
		return c.err
	}
	c.next = ApplyRecord(current, winch.ReleaseRecord{Revision: current.Revision + 1, Note: note})
	c.checkSizes()
	c.checkItems()
	return c.err
}

// indexItems records the path of each item in the note. It reports items that are
// added but exist already, and items that are changed or withdrawn but do not exist.
func (c *checker) indexItems(current *winch.Configuration, note winch.Note) {
	exists := map[string]bool{}
	for _, name := range ItemNames(winch.Note{Added: sortedItems(current)}) {
		exists[name] = true
	}
	for _, path := range itemPaths("Added", note.Added) {
		c.recordPath(path.name, path.path)
		if exists[path.name] {
			c.fail(path.path, "%s exists already", path.name)
		}
	}
	for _, path := range itemPaths("Changed", note.Changed) {
		c.recordPath(path.name, path.path)
		if !exists[path.name] {
			c.fail(path.path, "%s does not exist", path.name)
		}
	}
	for _, path := range itemIDPaths(note.Withdrawn) {
		c.recordPath(path.name, path.path)
		c.withdrawnPaths[path.name] = path.path
		if !exists[path.name] {
			c.fail(path.path, "%s does not exist", path.name)
		}
	}
}

func (c *checker) recordPath(name, path string) {
	if other, duplicate := c.notePaths[name]; duplicate {
		c.fail(path, "%s stands at %s too", name, other)
	}
	c.notePaths[name] = path
}

// itemPath is the name of an item, such as "Keys[<id>]", with its path in a note.
type itemPath struct{ name, path string }

func itemPaths(prefix string, items winch.Items) []itemPath {
	paths := []itemPath{}
	add := func(kind string, i int, id string) {
		paths = append(paths, itemPath{name: kind + "[" + id + "]", path: fmt.Sprintf("%s.%s[%d]", prefix, kind, i)})
	}
	for i, item := range items.Organisations {
		add("Organisations", i, string(item.ID))
	}
	for i, item := range items.Keys {
		add("Keys", i, string(item.ID))
	}
	for i, item := range items.Classes {
		add("Classes", i, string(item.ID))
	}
	for i, item := range items.Routes {
		add("Routes", i, string(item.ID))
	}
	for i, item := range items.Endpoints {
		add("Endpoints", i, string(item.ID))
	}
	for i, item := range items.Pools {
		add("Pools", i, string(item.ID))
	}
	for i, item := range items.Evacuations {
		add("Evacuations", i, string(item.DataCentre))
	}
	return paths
}

// itemIDPaths returns the names and paths of withdrawn items. The index in a path is
// counted within its kind, so the names must be grouped by kind, in the order of the note.
func itemIDPaths(ids winch.ItemIDs) []itemPath {
	paths := []itemPath{}
	kind, count := "", 0
	for _, name := range itemIDNames(ids) {
		if prefix := name[:strings.IndexByte(name, '[')]; prefix != kind {
			kind, count = prefix, 0
		}
		paths = append(paths, itemPath{name: name, path: fmt.Sprintf("Withdrawn.%s[%d]", kind, count)})
		count++
	}
	return paths
}

// fieldPath returns the path of an item's field, within the note if the note
// contains the item.
func (c *checker) fieldPath(kind, id, field string) string {
	name := kind + "[" + id + "]"
	if path, found := c.notePaths[name]; found {
		name = path
	}
	return name + "." + field
}

func (c *checker) checkSizes() {
	for _, size := range []struct {
		kind         string
		count, limit int
	}{
		{"Organisations", len(c.next.Organisations), maxOrganisations},
		{"Keys", len(c.next.Keys), maxKeys},
		{"Classes", len(c.next.Classes), maxOtherItems},
		{"Routes", len(c.next.Routes), maxOtherItems},
		{"Endpoints", len(c.next.Endpoints), maxEndpoints},
		{"Pools", len(c.next.Pools), maxOtherItems},
		{"Evacuations", len(c.next.Evacuations), maxOtherItems},
	} {
		if size.count > size.limit {
			c.fail(size.kind, "would be %d, more than %d", size.count, size.limit)
		}
	}
}

func (c *checker) checkItems() {
	items := sortedItems(c.next)
	for _, item := range items.Organisations {
		c.checkRange("Organisations", string(item.ID), "Weight", item.Weight, 1, maxWeight)
	}
	c.checkKeys(items.Keys)
	for _, item := range items.Classes {
		c.checkClass(item)
	}
	for _, item := range items.Routes {
		c.checkClassExists("Routes", string(item.ID), "Class", item.Class)
	}
	addresses := map[string]winch.EndpointID{}
	for _, item := range items.Endpoints {
		c.checkEndpoint(item)
		if other, duplicate := addresses[item.Address]; duplicate {
			c.fail(c.fieldPath("Endpoints", string(item.ID), "Address"), "%s belongs to endpoint %q too", item.Address, other)
		}
		addresses[item.Address] = item.ID
	}
	for _, item := range items.Pools {
		c.checkPool(item)
	}
	for _, item := range items.Evacuations {
		c.checkEvacuation(item)
	}
}

// checkEvacuation rejects a note that adds an evacuation of a data centre without endpoints and pools, whose name may be misspelt. They
// may be removed while the evacuation lasts.
func (c *checker) checkEvacuation(item winch.Evacuation) {
	if _, found := c.notePaths["Evacuations["+string(item.DataCentre)+"]"]; !found {
		return
	}
	for _, endpoint := range c.next.Endpoints {
		if endpoint.DataCentre == item.DataCentre {
			return
		}
	}
	for _, pool := range c.next.Pools {
		if pool.DataCentre == item.DataCentre {
			return
		}
	}
	c.fail(c.fieldPath("Evacuations", string(item.DataCentre), "DataCentre"), "%q has no endpoints and no pools", item.DataCentre)
}

func (c *checker) checkKeys(keys []winch.Key) {
	keyIDByHash := map[winch.KeyHash]winch.KeyID{}
	for _, item := range keys {
		id := string(item.ID)
		if _, found := c.next.Organisations[item.Organisation]; !found {
			c.failMissing("Keys", id, "Organisation", "Organisations["+string(item.Organisation)+"]")
		}
		if item.Hash == (winch.KeyHash{}) {
			c.fail(c.fieldPath("Keys", id, "Hash"), "is missing")
		}
		if other, duplicate := keyIDByHash[item.Hash]; duplicate {
			c.fail(c.fieldPath("Keys", id, "Hash"), "belongs to key %q too", other)
		}
		keyIDByHash[item.Hash] = item.ID
	}
}

func (c *checker) checkClass(item winch.Class) {
	id := string(item.ID)
	c.checkRange("Classes", id, "Tier", int(item.Tier), 1, maxTier)
	c.checkRange("Classes", id, "QueueLimit", item.QueueLimit, 1, maxQueueLimit)
	if item.FirstTokenTarget <= 0 {
		c.fail(c.fieldPath("Classes", id, "FirstTokenTarget"), "must be above 0")
	}
	if item.MaxWait <= 0 {
		c.fail(c.fieldPath("Classes", id, "MaxWait"), "must be above 0")
	}
	// This form of the condition also rejects NaN.
	if !(item.Floor >= 0 && item.Floor <= maxFloor) {
		c.fail(c.fieldPath("Classes", id, "Floor"), "must be between 0 and %v", maxFloor)
	}
	c.checkDistinct("Classes", id, "Models", toStrings(item.Models))
}

func (c *checker) checkEndpoint(item winch.Endpoint) {
	id := string(item.ID)
	if item.Kind != winch.EndpointEngine && item.Kind != winch.EndpointService {
		c.fail(c.fieldPath("Endpoints", id, "Kind"), "%q is neither Engine nor Service", item.Kind)
	}
	address, err := netip.ParseAddrPort(item.Address)
	if err != nil || address.Port() == 0 {
		c.fail(c.fieldPath("Endpoints", id, "Address"), "%q is not an IP address and port", item.Address)
	}
	if item.Kind == winch.EndpointEngine && len(item.Models) == 0 {
		c.fail(c.fieldPath("Endpoints", id, "Models"), "is missing")
	}
	for _, route := range item.Routes {
		if _, found := c.next.Routes[route]; !found {
			c.failMissing("Endpoints", id, "Routes", "Routes["+string(route)+"]")
		}
	}
	if _, found := c.next.Pools[item.Pool]; !found && item.Pool != "" {
		c.failMissing("Endpoints", id, "Pool", "Pools["+string(item.Pool)+"]")
	}
	c.checkDistinct("Endpoints", id, "Models", toStrings(item.Models))
	c.checkSupply("Endpoints", id, item.Supply, item.Cost, item.SlotLimit)
	c.checkClasses("Endpoints", id, item.Classes)
}

func (c *checker) checkPool(item winch.Pool) {
	id := string(item.ID)
	c.checkRange("Pools", id, "Max", item.Max, 1, maxPoolSize)
	c.checkRange("Pools", id, "Min", item.Min, 0, item.Max)
	c.checkSupply("Pools", id, item.Supply, item.Cost, item.SlotLimit)
	c.checkClasses("Pools", id, item.Classes)
}

func (c *checker) checkSupply(kind, id string, supply winch.Supply, cost winch.Cost, slots int) {
	if supply != winch.SupplySteady && supply != winch.SupplyCheap {
		c.fail(c.fieldPath(kind, id, "Supply"), "%q is neither Steady nor Cheap", supply)
	}
	if cost < 0 {
		c.fail(c.fieldPath(kind, id, "Cost"), "must not be negative")
	}
	c.checkRange(kind, id, "SlotLimit", slots, 1, maxSlotLimit)
}

// checkClasses checks that the classes exist and are distinct, and that the sum
// of their floors is at most maxFloor, since they share the same slots.
func (c *checker) checkClasses(kind, id string, classes []winch.ClassID) {
	floors := 0.0
	for _, class := range classes {
		c.checkClassExists(kind, id, "Classes", class)
		floors += c.next.Classes[class].Floor
	}
	// 1e-9 allows for rounding in the sum.
	if floors > maxFloor+1e-9 {
		c.fail(c.fieldPath(kind, id, "Classes"), "have floors that sum to %.3f, more than %v", floors, maxFloor)
	}
	c.checkDistinct(kind, id, "Classes", toStrings(classes))
}

func (c *checker) checkClassExists(kind, id, field string, class winch.ClassID) {
	if _, found := c.next.Classes[class]; !found {
		c.failMissing(kind, id, field, "Classes["+string(class)+"]")
	}
}

// failMissing reports a reference to an item that does not exist. If the note
// itself withdraws that item, the error names the withdrawal instead.
func (c *checker) failMissing(kind, id, field, name string) {
	if path, withdrawn := c.withdrawnPaths[name]; withdrawn {
		c.fail(path, "%s is still used by %s[%s]", name, kind, id)
		return
	}
	c.fail(c.fieldPath(kind, id, field), "%s does not exist", name)
}

func (c *checker) checkRange(kind, id, field string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		c.fail(c.fieldPath(kind, id, field), "%d is not between %d and %d", value, minimum, maximum)
	}
}

func (c *checker) checkDistinct(kind, id, field string, values []string) {
	seen := map[string]bool{}
	for _, value := range values {
		if seen[value] {
			c.fail(c.fieldPath(kind, id, field), "%q stands twice", value)
		}
		seen[value] = true
	}
}

// toStrings converts a list of models or of classes; other types are not used.
func toStrings(values any) []string {
	result := []string{}
	switch values := values.(type) {
	case []winch.ModelID:
		for _, value := range values {
			result = append(result, string(value))
		}
	case []winch.ClassID:
		for _, value := range values {
			result = append(result, string(value))
		}
	}
	return result
}
