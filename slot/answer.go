package slot

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/service"
)

// answer grants slots and tells what the entry lacks.
func (o *Owner) answer(now time.Time, e *Entry, r Report) {
	reply := Reply{Term: o.Term, Seq: r.Seq, LeaseMS: LeaseTime.Milliseconds()}
	reply.Configuration = o.missingConfiguration(e)
	reply.Grants = o.grants(now, e)
	reply.Lenders = o.lenders(e)
	o.emit(SendReply{Entry: e.Name, Reply: reply})
}

// missingConfiguration gives the documents that changed since the entry's
// index, and all orders, which are few.
func (o *Owner) missingConfiguration(e *Entry) *Configuration {
	if e.CatalogIndex >= o.Catalog.Index {
		return nil
	}
	c := &Configuration{
		Index: o.Catalog.Index, Documents: map[string]service.Document{},
		OutDomains: maps.Clone(o.Catalog.OutDomains), DrainedServers: maps.Clone(o.Catalog.DrainedServers),
	}
	for name, d := range o.Catalog.Documents {
		if o.Catalog.ChangedAt[name] > e.CatalogIndex {
			c.Documents[name] = d
		}
	}
	return c
}

// lendersPerReply bounds the lenders that a reply names for a service.
const lendersPerReply = 3

// lenders names the entries with most idle slots, for each service of which
// the entry itself is short.
func (o *Owner) lenders(e *Entry) map[string][]Lender {
	var out map[string][]Lender
	for name := range o.Catalog.Documents {
		if e.Idle[name] > 1 {
			continue
		}
		idle := o.mostIdle(name, e)
		if len(idle) == 0 {
			continue
		}
		if out == nil {
			out = map[string][]Lender{}
		}
		for _, x := range idle {
			out[name] = append(out[name], Lender{Entry: x.Name, Address: x.Address})
		}
	}
	return out
}

func (o *Owner) mostIdle(service string, besides *Entry) []*Entry {
	others := slices.Collect(maps.Values(o.Entries))
	others = slices.DeleteFunc(others, func(x *Entry) bool {
		return x == besides || x.Idle[service] < 1 || x.Address == ""
	})
	slices.SortFunc(others, func(a, b *Entry) int {
		if d := b.Idle[service] - a.Idle[service]; d != 0 {
			return d
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return others[:min(len(others), lendersPerReply)]
}
