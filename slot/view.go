package slot

import (
	"maps"
	"slices"
)

// EntryView is the owner's view of an entry, for operators.
type EntryView struct {
	Entry        string `json:"entry"`
	Domain       string `json:"failure_domain"`
	CatalogIndex uint64 `json:"catalog_index"`
	// Slots counts the slots that the entry may hold.
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
}

// ServerView is the owner's view of a server, for operators.
type ServerView struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Domain  string `json:"failure_domain"`
	State   string `json:"state"`
	BootID  string `json:"boot_id"`
	// Slots is how many calls the server runs at once when warm.
	Slots int `json:"slots"`
	// Limit is how many calls the server gets now.
	Limit int `json:"limit"`
	// Promised is how many slots are granted or may still be in use.
	Promised int `json:"promised"`
	// Load is what the server said last; it is stale.
	Load int `json:"load"`
}

// EntryViews lists the entries in order.
func (o *Owner) EntryViews() []EntryView {
	views := []EntryView{}
	for _, name := range slices.Sorted(maps.Keys(o.Entries)) {
		e := o.Entries[name]
		v := EntryView{Entry: name, Domain: e.Domain, CatalogIndex: e.CatalogIndex, Leaving: e.Leaving}
		for _, s := range o.Servers {
			v.Slots += s.Bounds[name]
		}
		views = append(views, v)
	}
	return views
}

// ServerViews lists the servers in order.
func (o *Owner) ServerViews() []ServerView {
	views := []ServerView{}
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		s := o.Servers[name]
		v := ServerView{Server: name, Service: s.Service, State: "gone", Promised: s.promised()}
		if m := o.Table.Members[name]; m != nil {
			a := m.Announcement
			v.State = string(a.State)
			v.Domain = a.Domain
			v.BootID = a.BootID
			v.Slots = a.Slots
			v.Load = a.Load
			v.Limit = o.usable(s)
		}
		views = append(views, v)
	}
	return views
}
