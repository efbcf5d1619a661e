package carrier

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/messenger"
)

// FuzzForward gives the carrier any message that decodes; it must answer each.
func FuzzForward(f *testing.F) {
	seeds := []*messenger.Request{
		{Role: messenger.Role_ROLE_CARRY, Id: "1", Service: "saleroom", Method: "GET", Path: "/x", Budget: 1000},
		{Role: messenger.Role_ROLE_OWN, Id: "2", Service: "saleroom", Method: "POST", Operation: "AAAA"},
		{Service: "nobody", Budget: 1 << 63, Digest: []byte{1}, Suspects: [][]byte{{1}}},
	}
	for _, seed := range seeds {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in messenger.Request
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		_, c := newWorld(t)
		reply, err := c.Forward(t.Context(), &in)
		if err != nil || reply.GetOutcome() == messenger.Outcome_OUTCOME_UNSPECIFIED {
			t.Fatalf("got %v, %v", reply, err)
		}
	})
}
