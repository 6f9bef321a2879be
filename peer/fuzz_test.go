package peer

import "testing"

// FuzzRequest checks that no method and parameters make the decoder panic: one
// malformed message must not end an instance.
func FuzzRequest(f *testing.F) {
	for _, method := range []string{
		methodReplica, methodReport, methodPropose, methodBorrow, methodReturn, methodJoin, methodLeave, methodConfirm, methodAnnounce,
		methodRenew, methodWatch, methodCopy, methodSuspect, methodQuarantineProbe,
	} {
		f.Add(method, []byte(`{"entry":"e1","epoch":1,"command":"e30=","message":{"kind":"append","body":{}}}`))
	}
	f.Fuzz(func(_ *testing.T, method string, params []byte) {
		_, _ = decodeRequest(method, params)
	})
}

// FuzzView checks that no bytes make the decoders of views and digests panic.
func FuzzView(f *testing.F) {
	data, err := EncodeView(View{FleetRevision: 1, Full: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0, 1, 2})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeView(data)
		_, _ = DecodeDigest(string(data))
	})
}
