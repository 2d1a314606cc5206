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

func TestLeaseCountsFromSendingOfRequest(t *testing.T) {
	h := newTestHolder(t)
	if want := terms.holderDuration(); h.ExpiresAt() != want || want >= terms.Duration {
		t.Errorf("until %v, want %v, less than %v", h.ExpiresAt(), want, terms.Duration)
	}
	request, due := h.Tick(3 * time.Second)
	if !due {
		t.Fatal("no renewal is due after the renew interval")
	}
	h.Tick(4 * time.Second)
	h.HandleResponse(Response{7, request.Number, true})
	if want := 3*time.Second + terms.holderDuration(); h.ExpiresAt() != want {
		t.Errorf("until %v, want %v, counted from the request", h.ExpiresAt(), want)
	}
}

func TestLateRepeatedAndForeignResponsesAreIgnored(t *testing.T) {
	h := newTestHolder(t)
	first, _ := h.Tick(2 * time.Second)
	second, _ := h.Tick(4 * time.Second)
	h.HandleResponse(Response{7, second.Number, true})
	until := h.ExpiresAt()
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
		if h.ExpiresAt() != until {
			t.Errorf("%s: %+v moved the end from %v to %v", test.name, test.response, until, h.ExpiresAt())
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

func TestSuspensionIsNoticedBeforeEffect(t *testing.T) {
	h := newTestHolder(t)
	if valid, reason := h.Valid(1500 * time.Millisecond); !valid {
		t.Errorf("%s", reason)
	}
	if valid, reason := h.Valid(3 * time.Second); valid || reason != "this process slept" {
		t.Errorf("valid %v: %s", valid, reason)
	}
}
