package planner

import "testing"

// TestIdempotentKinds guards against a lost download that is not retried, and against a retry of
// work that may run at most once.
func TestIdempotentKinds(t *testing.T) {
	for kind, want := range map[Kind]bool{
		KindIdempotent: true, KindDownload: true, KindOnce: false, KindUpload: false, "other": false,
	} {
		r := Route{Kind: kind}
		if got := r.Idempotent(); got != want {
			t.Errorf("%s: Idempotent() is %v", kind, got)
		}
	}
}
