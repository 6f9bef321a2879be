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
	// State is the state that the server announced, or "gone" when its
	// announcement has expired. Only Server, Service and Reserved are set besides
	// it then.
	State  string `json:"state"`
	BootID string `json:"boot_id"`
	// Slots is the number of calls that the server runs concurrently when
	// warm.
	Slots int `json:"slots"`
	// Limit is the number of concurrent calls that the server may get now.
	Limit int `json:"limit"`
	// Reserved counts the slots that are granted or may still be in use.
	Reserved int `json:"promised"`
	// Load is the number of running calls in the server's last announcement.
	// It may be as old as [membership.AnnouncementLifetime].
	Load int `json:"load"`
}

// EntryViews returns the entries, sorted by name.
func (o *Owner) EntryViews() []EntryView {
	views := []EntryView{}
	for _, name := range slices.Sorted(maps.Keys(o.Entries)) {
		entry := o.Entries[name]
		view := EntryView{Entry: name, Domain: entry.Domain, CatalogIndex: entry.CatalogIndex, Leaving: entry.Leaving}
		for _, s := range o.Servers {
			view.Slots += s.MaxHeld[name]
		}
		views = append(views, view)
	}
	return views
}

// ServerViews returns the servers, sorted by name.
func (o *Owner) ServerViews() []ServerView {
	views := []ServerView{}
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		server := o.Servers[name]
		view := ServerView{Server: name, Service: server.Service, State: "gone", Reserved: server.reserved()}
		if member := o.Membership.Members[name]; member != nil {
			announcement := member.Announcement
			view.State = string(announcement.State)
			view.Domain = announcement.Domain
			view.BootID = announcement.BootID
			view.Slots = announcement.Slots
			view.Load = announcement.Load
			view.Limit = o.usableSlots(server)
		}
		views = append(views, view)
	}
	return views
}
