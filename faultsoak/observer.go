package faultsoak

import "time"

// observer is a task that owns the history of a run. Events are in the order in
// which they were recorded. A caller records a request before it sends it, so
// that the request precedes its execution in the history.
type observer struct {
	startedAt time.Time
	events    chan Event
	// finish requests the history and ends the task.
	finish chan chan []Event
	done   chan struct{}
}

// eventQueueLength is the maximum number of events waiting for the observer. A
// sender blocks while the queue is full.
const eventQueueLength = 1024

func startObserver() *observer {
	o := &observer{
		startedAt: time.Now(), events: make(chan Event, eventQueueLength), finish: make(chan chan []Event), done: make(chan struct{}),
	}
	go o.run()
	return o
}

func (o *observer) now() time.Duration { return time.Since(o.startedAt) }

// record adds an event to the history. Events after stop are dropped.
func (o *observer) record(e Event) {
	select {
	case o.events <- e:
	case <-o.done:
	}
}

func (o *observer) run() {
	defer close(o.done)
	var history []Event
	for {
		select {
		case e := <-o.events:
			history = append(history, e)
		case reply := <-o.finish:
			for len(o.events) > 0 {
				history = append(history, <-o.events)
			}
			reply <- history
			return
		}
	}
}

// stop ends the task and returns the history.
func (o *observer) stop() []Event {
	reply := make(chan []Event, 1)
	o.finish <- reply
	return <-reply
}
