package distribution

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// history keeps the latest values by revision, up to HistoryKept and HistoryBytes but always the
// newest, and caches the deltas from them to the newest one.
type history[T, D any] struct {
	revisions []uint64
	// sizes holds the size of each value in bytes, in the order of revisions, and bytes their sum.
	sizes  []int
	bytes  int
	values map[uint64]*T
	deltas map[uint64]*D
}

func (h *history[T, D]) add(revision uint64, value *T) {
	if h.values == nil {
		h.values = make(map[uint64]*T)
	}
	h.revisions = append(h.revisions, revision)
	h.values[revision] = value
	size := contentSize(value)
	h.sizes = append(h.sizes, size)
	h.bytes += size
	h.deltas = make(map[uint64]*D)
	for len(h.revisions) > HistoryKept || (len(h.revisions) > 1 && h.bytes > HistoryBytes) {
		delete(h.values, h.revisions[0])
		h.bytes -= h.sizes[0]
		h.revisions, h.sizes = h.revisions[1:], h.sizes[1:]
	}
}

// contentSize returns about how many bytes the content of v takes. It neither encodes nor allocates,
// since every process counts each new configuration and directory.
func contentSize[T any](v *T) int { return heldSize(reflect.ValueOf(v).Elem()) }

// heldSize returns the memory in bytes that a value takes with everything its exported fields refer to,
// each as often as they do. Unexported fields are indexes over the others.
func heldSize(v reflect.Value) int { return int(v.Type().Size()) + referredSize(v) }

// referredSize is heldSize without the value itself.
func referredSize(v reflect.Value) int {
	n := 0
	switch v.Kind() {
	case reflect.String:
		n = v.Len()
	case reflect.Pointer:
		if !v.IsNil() {
			n = heldSize(v.Elem())
		}
	case reflect.Slice:
		n = v.Len() * int(v.Type().Elem().Size())
		for i := range v.Len() {
			n += referredSize(v.Index(i))
		}
	case reflect.Map:
		for pairs := v.MapRange(); pairs.Next(); {
			n += heldSize(pairs.Key()) + heldSize(pairs.Value())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Field(i); f.CanInterface() {
				n += referredSize(f)
			}
		}
	}
	return n
}

// delta returns the change from a revision to the newest value, or nil when the revision
// is not kept. Revision 0 stands for a subscriber that has no value yet.
func (h *history[T, D]) delta(from uint64, diff func(old, new *T) *D) *D {
	old, ok := h.values[from]
	if !ok || from == 0 {
		return nil
	}
	if d, ok := h.deltas[from]; ok {
		return d
	}
	d := diff(old, h.values[h.revisions[len(h.revisions)-1]])
	h.deltas[from] = d
	return d
}

// diffConfig returns the change between two configurations.
func diffConfig(old, next *contract.Config) *api.ConfigDelta {
	d := &api.ConfigDelta{From: old.Revision, Header: headerOf(&next.Parts)}
	if d.SameBundle = old.Bundle == next.Bundle; d.SameBundle {
		d.Header.Bundle = contract.BundleRef{}
	}
	if d.SameTiers = slices.Equal(old.Tiers, next.Tiers); d.SameTiers {
		d.Header.Tiers = nil
	}
	if d.SameServices = len(old.Services) == len(next.Services); d.SameServices {
		d.Header.Services = nil
		d.Services = changedServices(old.Services, next.Services)
	}
	if d.SameIngress = sameIngress(old.Ingress, next.Ingress); d.SameIngress {
		d.Header.Ingress = nil
	}
	d.Header.Domains = nil
	d.Domains, d.RemovedDomains = diffDomains(old.Domains, next.Domains)
	before := accountsByName(old.Accounts)
	for _, a := range next.Accounts {
		if b, ok := before[a.Name]; !ok || (a != b && !reflect.DeepEqual(a, b)) {
			d.Accounts = append(d.Accounts, a)
		}
		delete(before, a.Name)
	}
	d.RemovedAccounts = slices.Sorted(maps.Keys(before))
	return d
}

func sameIngress(a, b *contract.Ingress) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Version == b.Version
}

// changedServices returns the services that differ between two lists of the same length, by
// index.
func changedServices(old, next []*contract.Service) map[int]*contract.Service {
	changed := make(map[int]*contract.Service)
	for i, s := range next {
		if s != old[i] && !reflect.DeepEqual(s, old[i]) {
			changed[i] = s
		}
	}
	return changed
}

func diffDomains(old, next map[failuredomain.ID]failuredomain.Domain) (changed map[failuredomain.ID]failuredomain.Domain, removed []failuredomain.ID) {
	changed = make(map[failuredomain.ID]failuredomain.Domain)
	for id, d := range next {
		if before, ok := old[id]; !ok || before != d {
			changed[id] = d
		}
	}
	for id := range old {
		if _, ok := next[id]; !ok {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// applyConfig returns the configuration that a delta on old describes; it shares unchanged
// parts with old.
func applyConfig(old *contract.Config, d *api.ConfigDelta) *contract.Config {
	next := headerOf(&d.Header)
	if d.SameBundle {
		next.Bundle = old.Bundle
	}
	if d.SameTiers {
		next.Tiers = old.Tiers
	}
	if d.SameIngress {
		next.Ingress = old.Ingress
	}
	if d.SameServices {
		next.Services = slices.Clone(old.Services)
		for i, s := range d.Services {
			next.Services[i] = s
		}
	}
	next.Domains = applyDomains(old.Domains, d.Domains, d.RemovedDomains)
	changed := accountsByName(d.Accounts)
	next.Accounts = make([]*account.Account, 0, len(old.Accounts)+len(d.Accounts))
	for _, a := range old.Accounts {
		if _, removed := slices.BinarySearch(d.RemovedAccounts, a.Name); removed {
			continue
		}
		if c, ok := changed[a.Name]; ok {
			a = c
			delete(changed, a.Name)
		}
		next.Accounts = append(next.Accounts, a)
	}
	for _, a := range d.Accounts {
		if _, added := changed[a.Name]; added {
			next.Accounts = append(next.Accounts, a)
		}
	}
	return contract.NewConfig(next)
}

func applyDomains(old, changed map[failuredomain.ID]failuredomain.Domain, removed []failuredomain.ID) map[failuredomain.ID]failuredomain.Domain {
	next := make(map[failuredomain.ID]failuredomain.Domain, len(old)+len(changed))
	maps.Copy(next, old)
	maps.Copy(next, changed)
	for _, id := range removed {
		delete(next, id)
	}
	return next
}

// headerOf returns a shallow copy of a configuration's content without the accounts.
func headerOf(c *contract.Parts) contract.Parts {
	header := *c
	header.Accounts = nil
	return header
}

func accountsByName(list []*account.Account) map[string]*account.Account {
	out := make(map[string]*account.Account, len(list))
	for _, a := range list {
		out[a.Name] = a
	}
	return out
}

func diffDirectory(old, next *api.Directory) *api.DirectoryDelta {
	d := &api.DirectoryDelta{From: old.Revision, To: next.Revision}
	d.Endpoints, d.RemovedEndpoints = diffSorted(old.Endpoints, next.Endpoints, endpointID)
	d.Processes, d.RemovedProcesses = diffSorted(old.Processes, next.Processes, instanceID)
	d.Control, d.Quarantined = next.Control, next.Quarantined
	return d
}

func applyDirectory(old *api.Directory, d *api.DirectoryDelta) *api.Directory {
	return &api.Directory{
		Revision:  d.To,
		Endpoints: mergeSorted(old.Endpoints, d.Endpoints, d.RemovedEndpoints, endpointID),
		Processes: mergeSorted(old.Processes, d.Processes, d.RemovedProcesses, instanceID),
		Control:   d.Control,

		Quarantined: d.Quarantined,
	}
}

func endpointID(e endpoint.Endpoint) instance.ID { return e.ID }
func instanceID(i instance.Instance) instance.ID { return i.ID }
func compareID(a, b instance.ID) int             { return strings.Compare(string(a), string(b)) }

// diffSorted returns the changed and added items and the IDs of removed ones; both lists are
// sorted by ID.
func diffSorted[T comparable](old, next []T, id func(T) instance.ID) (changed []T, removed []instance.ID) {
	for len(old) > 0 || len(next) > 0 {
		switch compareHeads(old, next, id) {
		case -1:
			removed = append(removed, id(old[0]))
			old = old[1:]
		case 1:
			changed = append(changed, next[0])
			next = next[1:]
		default:
			if old[0] != next[0] {
				changed = append(changed, next[0])
			}
			old, next = old[1:], next[1:]
		}
	}
	return changed, removed
}

// compareHeads compares the IDs of the first items of two lists; an empty list sorts last.
func compareHeads[T any](a, b []T, id func(T) instance.ID) int {
	if len(a) == 0 || len(b) == 0 {
		return cmp.Compare(len(b), len(a))
	}
	return compareID(id(a[0]), id(b[0]))
}

// mergeSorted applies changes and removals to a list; all three are sorted by ID. An empty
// result is nil, as it is after decoding an empty list.
func mergeSorted[T any](old, changed []T, removed []instance.ID, id func(T) instance.ID) []T {
	var out []T
	for len(old) > 0 || len(changed) > 0 {
		switch compareHeads(old, changed, id) {
		case -1:
			if _, gone := slices.BinarySearchFunc(removed, id(old[0]), compareID); !gone {
				out = append(out, old[0])
			}
			old = old[1:]
		case 1:
			out = append(out, changed[0])
			changed = changed[1:]
		default:
			out = append(out, changed[0])
			old, changed = old[1:], changed[1:]
		}
	}
	return out
}
