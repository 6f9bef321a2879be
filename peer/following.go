package peer

import (
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/route"
)

// Following is what an instance has of the view of the instance that it follows. It is
// owned by one task.
type Following struct {
	// Request is the next watch. It says which view this instance has.
	Request WatchRequest
	// Mirror is the fleet of the instance that is followed.
	Mirror *fleet.Mirror
}

// NewFollowing returns a Following without a view, for the instance with this name.
func NewFollowing(name string) *Following {
	return &Following{Request: WatchRequest{Entry: name, Compares: true}, Mirror: fleet.NewMirror()}
}

// Take takes the answer to a watch and prepares the next one. It returns the view in the
// answer, or nil if there is none. When the fleet of the other instance is complete, the
// view's removals include the upstreams that it does not know. An error means that the
// view could not be decoded; nothing has changed then.
func (f *Following) Take(response WatchResponse) (view *View, err error) {
	if response.DigestWanted {
		f.Request.Digest = EncodeDigest(f.Mirror.Digest)
		return nil, nil
	}
	if len(response.View) > 0 {
		decoded, err := DecodeView(response.View)
		if err != nil {
			return nil, err
		}
		view = &decoded
		f.updateMirror(view)
		f.adopt(response, *view)
	}
	f.Request.Index, f.Request.Count, f.Request.Followers = response.Index, response.Count, response.Followers
	return view, nil
}

// updateMirror applies a view to the mirror. When the other instance's fleet is complete,
// it adds the upstreams that this does not know to the removals of the view.
func (f *Following) updateMirror(view *View) {
	switch {
	case view.Full:
		f.Mirror.Compare(nil, view.Upstreams)
	case f.Request.Digest != "":
		f.Mirror.Compare(append([]int{}, view.Buckets...), view.Upstreams)
	}
	f.Mirror.Remove(view.Removed)
	f.Mirror.Put(view.Upstreams)
	if view.FleetComplete {
		unconfirmed := f.Mirror.Unconfirmed()
		f.Mirror.Remove(unconfirmed)
		view.Removed = append(view.Removed, unconfirmed...)
	}
}

// adopt records in the next watch which view this instance has.
func (f *Following) adopt(response WatchResponse, view View) {
	f.Request.Version = f.Request.Version.Later(route.VersionOf(view.Configuration))
	f.Request.Epoch, f.Request.Source, f.Request.Revision = response.Epoch, response.Source, response.Revision
	f.Request.FleetRevision, f.Request.FleetComplete = view.FleetRevision, view.FleetComplete
	if view.Quarantine != nil {
		f.Request.Quarantine = view.Quarantine.ID
	}
	f.Request.Digest = ""
}
