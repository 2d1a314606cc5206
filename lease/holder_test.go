package lease

import (
	"testing"
	"time"
)

func newTestHolder(t *testing.T) *Holder {
	t.Helper()
	h, err := NewHolder(terms, 7, 0, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// TestLeaseIsMeasuredFromRequest checks that neither the initial lease nor a renewal is measured from the response,
// which may arrive late.
func TestLeaseIsMeasuredFromRequest(t *testing.T) {
	h := newTestHolder(t)
	if want := terms.holderDuration(); h.ExpiresAt() != want || want >= terms.Duration {
		t.Errorf("lease expires at %v, want %v, and before %v", h.ExpiresAt(), want, terms.Duration)
	}
	request, due := h.Tick(3 * time.Second)
	if !due {
		t.Fatal("no renewal request is due after the renew interval")
	}
	h.Tick(4 * time.Second)
	h.HandleResponse(Response{7, request.Number, true})
	if want := 3*time.Second + terms.holderDuration(); h.ExpiresAt() != want {
		t.Errorf("lease expires at %v, want %v, measured from the request", h.ExpiresAt(), want)
	}
}

func TestLateRepeatedAndForeignResponsesAreIgnored(t *testing.T) {
	h := newTestHolder(t)
	first, _ := h.Tick(2 * time.Second)
	second, _ := h.Tick(4 * time.Second)
	h.HandleResponse(Response{7, second.Number, true})
	expiresAt := h.ExpiresAt()
	for _, test := range []struct {
		name     string
		response Response
	}{
		{"to an older request", Response{7, first.Number, true}},
		{"repeated", Response{7, second.Number, true}},
		{"to an unknown request", Response{7, 99, true}},
		{"grant of another session", Response{8, second.Number, true}},
		{"end of another session", Response{8, second.Number, false}},
	} {
		h.HandleResponse(test.response)
		if h.ExpiresAt() != expiresAt {
			t.Errorf("%s: %+v moved the end of the lease from %v to %v", test.name, test.response, expiresAt, h.ExpiresAt())
		}
	}
	if valid, reason := h.Valid(4 * time.Second); !valid {
		t.Errorf("the lease is not valid: %s", reason)
	}
	h.HandleResponse(Response{Session: 7})
	if valid, _ := h.Valid(4 * time.Second); valid {
		t.Error("the lease is valid after its session has ended")
	}
}

// TestSuspensionIsDetectedBeforeEffect checks that a holder without a Tick for longer than MaxTickGap may not act.
func TestSuspensionIsDetectedBeforeEffect(t *testing.T) {
	h := newTestHolder(t)
	if valid, reason := h.Valid(1500 * time.Millisecond); !valid {
		t.Errorf("the lease is not valid: %s", reason)
	}
	if valid, reason := h.Valid(3 * time.Second); valid || reason != "the process was suspended" {
		t.Errorf("after a suspension: valid %v, reason %q", valid, reason)
	}
}
