package respfront

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"elderyard/internal/resp"
	"elderyard/internal/site"
	"elderyard/rules"
)

const (
	mostToken    = 128       // bytes
	mostWait     = 60000     // milliseconds
	mostThrottle = 1_000_000 // of each of its figures
	mostMilli    = 1e12      // units that are told to a thousandth
)

// Words that stand in nearly every reply.
var (
	wordGranted      = resp.EncodeBulk("granted")
	wordSource       = resp.EncodeBulk("source")
	wordShared       = resp.EncodeBulk("shared")
	wordNone         = resp.EncodeBulk("none")
	wordLocal        = resp.EncodeBulk("local")
	wordRetryAfterMs = resp.EncodeBulk("retry_after_ms")
	wordResetAfterMs = resp.EncodeBulk("reset_after_ms")
	wordRepeated     = resp.EncodeBulk("repeated")
	wordRemaining    = resp.EncodeBulk("remaining")
	wordExact        = resp.EncodeBulk("exact")
)

// account reads an account's number, and sees to it that the user may ask for it.
func (s *session) account(text string) (uint64, bool) {
	n, err := site.ParseAccountID(text)
	if err != nil {
		s.fail(fmt.Sprintf("ERR account '%.64s' is not 16 hexadecimal digits below 0000000200000000", text))
		return 0, false
	}
	if !s.user.owns(n) {
		s.fail(fmt.Sprintf("NOPERM this user has no permissions to access account '%016x'", n))
		return 0, false
	}
	return n, true
}

// units reads an amount: a number above 0 that all clients write alike.
func (s *session) units(text string) (float64, bool) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n > 0) || n > 1e9 {
		s.fail(fmt.Sprintf("ERR units '%.64s' is not a number above 0", text))
		return 0, false
	}
	return n, true
}

// options reads what follows the fixed words. Which may stand there, allowed says.
func (s *session) options(q *ask, words []string, allowed string) bool {
	q.spread, q.wait = s.front.desk.fleet, -1
	if len(words) == 0 {
		return s.planned(q, "")
	}
	named, seen := "", map[string]bool{}
	for i := 0; i < len(words); i++ {
		word := strings.ToUpper(words[i])
		value := ""
		switch {
		case !strings.Contains(" "+allowed+" ", " "+word+" "):
			s.fail(fmt.Sprintf("ERR syntax error: '%.64s' is none of %s", words[i], allowed))
			return false
		case seen[word]:
			s.fail("ERR syntax error: " + word + " stands twice")
			return false
		case word != "PARTIAL":
			if i++; i == len(words) {
				s.fail("ERR syntax error: " + word + " needs a value")
				return false
			}
			value = words[i]
		}
		seen[word] = true
		whole := func(least, most int) (int, bool) {
			n, err := strconv.Atoi(value)
			if err != nil || n < least || n > most {
				s.fail(fmt.Sprintf("ERR %s '%.64s' is not a whole number from %d to %d", word, value, least, most))
				return 0, false
			}
			return n, true
		}
		ok := true
		switch word {
		case "PARTIAL":
			q.partial = true
		case "PLAN":
			named = value
		case "ID":
			// What is kept must not hold on to the text of the whole pipeline.
			if q.token = strings.Clone(value); value == "" || len(value) > mostToken {
				s.fail(fmt.Sprintf("ERR a token has 1 to %d bytes", mostToken))
				return false
			}
		case "SPREAD":
			q.spread, ok = whole(1, s.front.desk.fleet)
		case "FIRST":
			q.first, ok = whole(0, s.front.desk.fleet-1)
		case "WAIT":
			var n int
			n, ok = whole(0, mostWait)
			q.wait = float64(n) / 1000
		}
		if !ok {
			return false
		}
	}
	if seen["SPREAD"] != seen["FIRST"] {
		s.fail("ERR syntax error: SPREAD and FIRST stand together")
		return false
	}
	return s.planned(q, named)
}

// planned finds the plan of the account, or the one that is named.
func (s *session) planned(q *ask, named string) bool {
	plan, err := s.front.desk.planFor(q.account, named)
	if err != nil {
		s.fail("ERR " + err.Error())
		return false
	}
	q.plan = plan
	return true
}

// possible answers a take that no wait would let through, with an error.
func (s *session) possible(q *ask) bool {
	if p := &s.front.desk.plans[q.plan]; p.Rate > 0 && q.units > p.Burst {
		s.fail(fmt.Sprintf("ERR %g units are more than plan %s ever has at once, which is %g", q.units, s.front.desk.names[q.plan], p.Burst))
		return false
	}
	return true
}

func limitTake(s *session, args []string) {
	q := s.newAsk()
	var ok bool
	if q.account, ok = s.account(args[1]); !ok {
		return
	}
	if q.units, ok = s.units(args[2]); !ok {
		return
	}
	if !s.options(q, args[3:], "PLAN SPREAD FIRST ID WAIT PARTIAL") || !s.possible(q) {
		return
	}
	s.ask(taken)
}

// taken writes the reply of a take.
func taken(w *replies, r *slot) {
	a := &r.answer
	w.Map(7)
	w.Encoded(wordGranted)
	w.Double(a.Granted)
	known(w, a)
	w.Encoded(wordSource)
	switch {
	case a.Granted == 0:
		w.Encoded(wordNone)
	case a.Shared:
		w.Encoded(wordShared)
	default:
		w.Encoded(wordLocal)
	}
	w.Encoded(wordRetryAfterMs)
	w.Int(ms(a.RetryAfter))
	w.Encoded(wordResetAfterMs)
	w.Int(ms(a.ResetAfter))
	w.Encoded(wordRepeated)
	w.Bool(r.repeated)
}

// known writes what is left and how exactly that is known. Of a repeated take
// nothing new is known; without a quota, what is left is without end.
func known(w *replies, a *rules.CheckResult) {
	w.Encoded(wordRemaining)
	switch {
	case math.IsNaN(a.Remaining):
		w.Null()
	case a.Remaining < mostMilli:
		w.Milli(int64(a.Remaining * 1000)) // stores refill all the time
	default:
		w.Double(a.Remaining)
	}
	w.Encoded(wordExact)
	w.Bool(a.Exact)
}

func limitPeek(s *session, args []string) {
	q := s.newAsk()
	var ok bool
	if q.account, ok = s.account(args[1]); !ok || !s.options(q, args[2:], "PLAN SPREAD FIRST") {
		return
	}
	q.peek = true
	s.ask(func(w *replies, r *slot) {
		w.Map(3)
		known(w, &r.answer)
		w.Encoded(wordResetAfterMs)
		w.Int(ms(r.answer.ResetAfter))
	})
}

func limitGive(s *session, args []string) {
	q := s.newAsk()
	q.giving = true
	var ok bool
	if q.account, ok = s.account(args[1]); !ok {
		return
	}
	if q.units, ok = s.units(args[2]); !ok {
		return
	}
	if !s.options(q, args[3:], "ID PLAN SPREAD FIRST") {
		return
	}
	if q.token == "" {
		s.fail("ERR syntax error: ID names the take")
		return
	}
	s.settle(s.ctx) // a take before it in the pipeline has to be decided first
	s.ask(func(w *replies, r *slot) {
		w.Map(3)
		w.Bulk("given")
		w.Double(r.answer.Granted)
		known(w, &r.answer)
	})
}

func limitPlan(s *session, args []string) {
	var q ask
	var ok bool
	if q.account, ok = s.account(args[1]); !ok || !s.options(&q, args[2:], "PLAN") {
		return
	}
	p := &s.front.desk.plans[q.plan]
	w := s.w()
	w.Map(5)
	w.Bulk("plan")
	w.Bulk(s.front.desk.names[q.plan])
	for _, f := range []struct {
		name string
		n    float64
	}{{"units_per_s", p.Rate}, {"burst", p.Burst}, {"ceiling_per_s", p.CeilingRate}, {"ceiling_burst", p.CeilingBurst}} {
		w.Bulk(f.name)
		w.Double(f.n)
	}
	s.said()
}

type stat struct {
	name string
	n    int64
}

func (d *Desk) counts() []stat {
	return []stat{{"takes", d.stats.takes.Load()}, {"units", d.stats.units.Load()}, {"refused", d.stats.refused.Load()},
		{"local", d.stats.local.Load()}, {"repeats", d.stats.repeats.Load()}, {"gives", d.stats.gives.Load()}, {"peeks", d.stats.peeks.Load()}}
}

func limitStats(s *session, _ []string) {
	list := s.front.desk.counts()
	w := s.w()
	w.Map(len(list))
	for _, st := range list {
		w.Bulk(st.name)
		w.Int(st.n)
	}
	s.said()
}

// throttle is the command that rate-limiting modules publish: figures of the limit
// come with each call. Here they have to be the plan's.
func throttle(s *session, args []string) {
	q := s.newAsk()
	var ok bool
	if len(args) > 6 {
		s.fail("ERR wrong number of arguments for 'cl.throttle' command")
		return
	}
	if q.account, ok = s.account(args[1]); !ok {
		return
	}
	figures := []int64{0, 0, 0, 1}
	for i, text := range args[2:] {
		n, err := strconv.ParseInt(text, 10, 64)
		if least := int64(min(i%3, 1)); err != nil || n < least || n > mostThrottle {
			s.fail(fmt.Sprintf("ERR '%.64s' is not a whole number from %d to %d", text, least, mostThrottle))
			return
		}
		figures[i] = n
	}
	limit := figures[0] + 1
	plan, err := s.front.desk.matching(q.account, limit, figures[1], figures[2])
	if err != nil {
		s.fail("ERR " + err.Error())
		return
	}
	q.plan, q.spread, q.wait, q.units = plan, s.front.desk.fleet, -1, float64(figures[3])
	if q.peek = q.units == 0; !q.peek && !s.possible(q) {
		return
	}
	s.ask(func(w *replies, r *slot) {
		a := &r.answer
		limited := !r.ask.peek && a.Granted < r.ask.units
		w.Array(5)
		if limited {
			w.Int(1)
		} else {
			w.Int(0)
		}
		w.Int(limit)
		w.Int(int64(math.Floor(a.Remaining)))
		if limited {
			w.Int(int64(math.Ceil(a.RetryAfter)))
		} else {
			w.Int(-1)
		}
		w.Int(int64(math.Ceil(a.ResetAfter)))
	})
}
