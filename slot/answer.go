package slot

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/service"
)

// sendReply answers a report with grants, lenders and the configuration that
// the entry lacks.
func (o *Owner) sendReply(now time.Time, e *Entry, r Report) {
	reply := Reply{Term: o.Term, Seq: r.Seq, LeaseMS: LeaseDuration.Milliseconds()}
	reply.Configuration = o.missingConfiguration(e)
	reply.Grants = o.grants(now, e)
	reply.Lenders = o.lenders(e)
	o.emit(SendReply{Entry: e.Name, Reply: reply})
}

// missingConfiguration returns the documents that changed since the entry's
// index, and all orders, which are few. It returns nil when the entry lacks
// nothing.
func (o *Owner) missingConfiguration(entry *Entry) *Configuration {
	if entry.CatalogIndex >= o.Catalog.Index {
		return nil
	}
	configuration := &Configuration{
		Index: o.Catalog.Index, Documents: map[string]service.Document{},
		OutDomains: maps.Clone(o.Catalog.OutDomains), DrainedServers: maps.Clone(o.Catalog.DrainedServers),
	}
	for name, document := range o.Catalog.Documents {
		if o.Catalog.ChangedAt[name] > entry.CatalogIndex {
			configuration.Documents[name] = document
		}
	}
	return configuration
}

// maxLendersPerReply limits the lenders that a reply names for each service.
const maxLendersPerReply = 3

// lenders returns, by service, the entries with the most idle slots. It skips
// services of which the entry itself has more than one idle slot.
func (o *Owner) lenders(entry *Entry) map[string][]Lender {
	var byService map[string][]Lender
	for name := range o.Catalog.Documents {
		if entry.IdleSlots[name] > 1 {
			continue
		}
		idle := o.entriesWithMostIdle(name, entry)
		if len(idle) == 0 {
			continue
		}
		if byService == nil {
			byService = map[string][]Lender{}
		}
		for _, x := range idle {
			byService[name] = append(byService[name], Lender{Entry: x.Name, Address: x.Address})
		}
	}
	return byService
}

func (o *Owner) entriesWithMostIdle(service string, except *Entry) []*Entry {
	others := slices.Collect(maps.Values(o.Entries))
	others = slices.DeleteFunc(others, func(x *Entry) bool {
		return x == except || x.IdleSlots[service] < 1 || x.Address == ""
	})
	slices.SortFunc(others, func(a, b *Entry) int {
		if difference := b.IdleSlots[service] - a.IdleSlots[service]; difference != 0 {
			return difference
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return others[:min(len(others), maxLendersPerReply)]
}
