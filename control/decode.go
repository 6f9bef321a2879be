package control

import (
	"maps"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
)

// decoding is a large command that is decoded in a goroutine of its own while its entry is
// replicated. Decoded by the task when it is committed, it would delay a leader's heartbeats.
type decoding struct {
	term   uint64
	result <-chan decoded
}

type decoded struct {
	command record.Command
	err     error
}

// decodeAhead begins to decode the large commands among entries that are appended to the log.
func (t *task) decodeAhead(entries []replica.Entry) {
	for _, e := range entries {
		if len(e.Data) <= peer.LargeBytes {
			continue
		}
		result := make(chan decoded, 1)
		go func() {
			command, err := jsonform.DecodeCommand(e.Data)
			result <- decoded{command, err}
		}()
		t.decodings[e.Index] = decoding{e.Term, result}
	}
}

// commandOf returns the command of a committed entry. Entries that were in the log when the
// instance started are decoded only now.
func (t *task) commandOf(entry replica.Entry) (record.Command, error) {
	ahead, ok := t.decodings[entry.Index]
	delete(t.decodings, entry.Index)
	if ok && ahead.term == entry.Term {
		result := <-ahead.result
		return result.command, result.err
	}
	if len(entry.Data) > peer.LargeBytes {
		t.metrics.GetOrCreateCounter("oriolepost_large_commands_decoded_in_task_total").Inc()
	}
	return jsonform.DecodeCommand(entry.Data)
}

// dropDecodings forgets the commands of entries that a snapshot replaces.
func (t *task) dropDecodings(snapshotIndex uint64) {
	maps.DeleteFunc(t.decodings, func(index uint64, _ decoding) bool { return index <= snapshotIndex })
}
