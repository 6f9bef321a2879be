package siege

import "time"

// witness is a task that owns the history. Events come in the order in which
// they are told: whoever sends a request tells so before it does.
type witness struct {
	began  time.Time
	events chan Event
	// finish asks for the history and ends the task.
	finish chan chan []Event
	done   chan struct{}
}

// eventQueue bounds the events that wait for the witness.
const eventQueue = 1024

func startWitness() *witness {
	w := &witness{
		began: time.Now(), events: make(chan Event, eventQueue), finish: make(chan chan []Event), done: make(chan struct{}),
	}
	go w.run()
	return w
}

func (w *witness) now() time.Duration { return time.Since(w.began) }

// tell adds an event. After the end nothing counts any more.
func (w *witness) tell(e Event) {
	select {
	case w.events <- e:
	case <-w.done:
	}
}

func (w *witness) run() {
	defer close(w.done)
	var history []Event
	for {
		select {
		case e := <-w.events:
			history = append(history, e)
		case answer := <-w.finish:
			for len(w.events) > 0 {
				history = append(history, <-w.events)
			}
			answer <- history
			return
		}
	}
}

// end gives the history.
func (w *witness) end() []Event {
	answer := make(chan []Event, 1)
	w.finish <- answer
	return <-answer
}
