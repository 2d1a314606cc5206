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
	maxTokenBytes    = 128
	maxWaitMillis    = 60000
	maxThrottleValue = 1_000_000 // of each number of a CL.THROTTLE
	maxMilliUnits    = 1e12      // below this, units are written in thousandths
)

// Texts that are in nearly every reply.
var (
	textGranted      = resp.EncodeBulk("granted")
	textSource       = resp.EncodeBulk("source")
	textShared       = resp.EncodeBulk("shared")
	textNone         = resp.EncodeBulk("none")
	textLocal        = resp.EncodeBulk("local")
	textRetryAfterMs = resp.EncodeBulk("retry_after_ms")
	textResetAfterMs = resp.EncodeBulk("reset_after_ms")
	textRepeated     = resp.EncodeBulk("repeated")
	textRemaining    = resp.EncodeBulk("remaining")
	textExact        = resp.EncodeBulk("exact")
)

// parseAccount parses the number of an account and checks the user's permission for it. Like
// the other functions of a session that return a bool, it has replied with an error if that
// is false.
func (s *session) parseAccount(text string) (uint64, bool) {
	id, err := site.ParseAccountID(text)
	if err != nil {
		s.fail(fmt.Sprintf("ERR account '%.64s' is not 16 hexadecimal digits below 0000000200000000", text))
		return 0, false
	}
	if !s.user.mayAccess(id) {
		s.fail(fmt.Sprintf("NOPERM this user has no permissions to access account '%016x'", id))
		return 0, false
	}
	return id, true
}

// parseUnits parses a number of units: above 0, and in a range that all clients format
// alike.
func (s *session) parseUnits(text string) (float64, bool) {
	units, err := strconv.ParseFloat(text, 64)
	if err != nil || !(units > 0) || units > 1e9 {
		s.fail(fmt.Sprintf("ERR units '%.64s' is not a number above 0", text))
		return 0, false
	}
	return units, true
}

// parseOptions parses the arguments after the positional ones. The names of the allowed
// options are separated by spaces.
func (s *session) parseOptions(request *limitRequest, args []string, allowed string) bool {
	request.gateways, request.wait = s.server.limiter.fleet, -1
	if len(args) == 0 {
		return s.setPlan(request, "")
	}
	plan, present := "", map[string]bool{}
	for i := 0; i < len(args); i++ {
		option := strings.ToUpper(args[i])
		value := ""
		switch {
		case !strings.Contains(" "+allowed+" ", " "+option+" "):
			s.fail(fmt.Sprintf("ERR syntax error: '%.64s' is none of %s", args[i], allowed))
			return false
		case present[option]:
			s.fail("ERR syntax error: " + option + " stands twice")
			return false
		case option != "PARTIAL":
			if i++; i == len(args) {
				s.fail("ERR syntax error: " + option + " needs a value")
				return false
			}
			value = args[i]
		}
		present[option] = true
		parseInt := func(min, max int) (int, bool) {
			n, err := strconv.Atoi(value)
			if err != nil || n < min || n > max {
				s.fail(fmt.Sprintf("ERR %s '%.64s' is not a whole number from %d to %d", option, value, min, max))
				return 0, false
			}
			return n, true
		}
		ok := true
		switch option {
		case "PARTIAL":
			request.partial = true
		case "PLAN":
			plan = value
		case "ID":
			// A substring would keep the text of the whole pipeline in memory.
			if request.token = strings.Clone(value); value == "" || len(value) > maxTokenBytes {
				s.fail(fmt.Sprintf("ERR a token has 1 to %d bytes", maxTokenBytes))
				return false
			}
		case "SPREAD":
			request.gateways, ok = parseInt(1, s.server.limiter.fleet)
		case "FIRST":
			request.firstGateway, ok = parseInt(0, s.server.limiter.fleet-1)
		case "WAIT":
			var n int
			n, ok = parseInt(0, maxWaitMillis)
			request.wait = float64(n) / 1000
		}
		if !ok {
			return false
		}
	}
	if present["SPREAD"] != present["FIRST"] {
		s.fail("ERR syntax error: SPREAD and FIRST stand together")
		return false
	}
	return s.setPlan(request, plan)
}

// setPlan sets the plan to that of the account, or to the one that the command names.
func (s *session) setPlan(request *limitRequest, named string) bool {
	plan, err := s.server.limiter.planOf(request.account, named)
	if err != nil {
		s.fail("ERR " + err.Error())
		return false
	}
	request.plan = plan
	return true
}

// checkBurst rejects a take of more units than the plan's burst, which would never be
// granted.
func (s *session) checkBurst(request *limitRequest) bool {
	if p := &s.server.limiter.plans[request.plan]; p.Rate > 0 && request.units > p.Burst {
		s.fail(fmt.Sprintf("ERR %g units are more than plan %s ever has at once, which is %g", request.units, s.server.limiter.planNames[request.plan], p.Burst))
		return false
	}
	return true
}

// limitTake takes units of an account.
func limitTake(s *session, args []string) {
	request := s.newRequest()
	var ok bool
	if request.account, ok = s.parseAccount(args[1]); !ok {
		return
	}
	if request.units, ok = s.parseUnits(args[2]); !ok {
		return
	}
	if !s.parseOptions(request, args[3:], "PLAN SPREAD FIRST ID WAIT PARTIAL") || !s.checkBurst(request) {
		return
	}
	s.submit(writeTake)
}

// writeTake writes the reply of a take.
func writeTake(w *replyWriter, r *queuedReply) {
	result := &r.result
	w.Map(7)
	w.Encoded(textGranted)
	w.Double(result.Granted)
	writeRemaining(w, result)
	w.Encoded(textSource)
	switch {
	case result.Granted == 0:
		w.Encoded(textNone)
	case result.Shared:
		w.Encoded(textShared)
	default:
		w.Encoded(textLocal)
	}
	w.Encoded(textRetryAfterMs)
	w.Int(toMillis(result.RetryAfter))
	w.Encoded(textResetAfterMs)
	w.Int(toMillis(result.ResetAfter))
	w.Encoded(textRepeated)
	w.Bool(r.repeated)
}

// writeRemaining writes the remaining units and whether their number is exact. They are
// NaN for a repeated take, of which only the grant is remembered, and infinite without a
// quota.
func writeRemaining(w *replyWriter, result *rules.CheckResult) {
	w.Encoded(textRemaining)
	switch {
	case math.IsNaN(result.Remaining):
		w.Null()
	case result.Remaining < maxMilliUnits:
		w.Milli(int64(result.Remaining * 1000)) // more digits are meaningless: buckets refill all the time
	default:
		w.Double(result.Remaining)
	}
	w.Encoded(textExact)
	w.Bool(result.Exact)
}

// limitPeek replies with the remaining units of an account.
func limitPeek(s *session, args []string) {
	request := s.newRequest()
	var ok bool
	if request.account, ok = s.parseAccount(args[1]); !ok || !s.parseOptions(request, args[2:], "PLAN SPREAD FIRST") {
		return
	}
	request.peek = true
	s.submit(func(w *replyWriter, r *queuedReply) {
		w.Map(3)
		writeRemaining(w, &r.result)
		w.Encoded(textResetAfterMs)
		w.Int(toMillis(r.result.ResetAfter))
	})
}

// limitGive refunds units of a take with a token.
func limitGive(s *session, args []string) {
	request := s.newRequest()
	request.refund = true
	var ok bool
	if request.account, ok = s.parseAccount(args[1]); !ok {
		return
	}
	if request.units, ok = s.parseUnits(args[2]); !ok {
		return
	}
	if !s.parseOptions(request, args[3:], "ID PLAN SPREAD FIRST") {
		return
	}
	if request.token == "" {
		s.fail("ERR syntax error: ID names the take")
		return
	}
	s.decideBatch() // a take before it in the pipeline must be decided first
	s.submit(func(w *replyWriter, r *queuedReply) {
		w.Map(3)
		w.Bulk("given")
		w.Double(r.result.Granted)
		writeRemaining(w, &r.result)
	})
}

// limitPlan replies with the limits of an account's plan.
func limitPlan(s *session, args []string) {
	var request limitRequest
	var ok bool
	if request.account, ok = s.parseAccount(args[1]); !ok || !s.parseOptions(&request, args[2:], "PLAN") {
		return
	}
	p := &s.server.limiter.plans[request.plan]
	w := s.writer()
	w.Map(5)
	w.Bulk("plan")
	w.Bulk(s.server.limiter.planNames[request.plan])
	for _, field := range []struct {
		name  string
		value float64
	}{{"units_per_s", p.Rate}, {"burst", p.Burst}, {"ceiling_per_s", p.CeilingRate}, {"ceiling_burst", p.CeilingBurst}} {
		w.Bulk(field.name)
		w.Double(field.value)
	}
	s.queue()
}

type stat struct {
	name  string
	value int64
}

// counts returns the statistics by the names that LIMIT.STATS and INFO have for them.
func (l *Limiter) counts() []stat {
	return []stat{{"takes", l.stats.takes.Load()}, {"units", l.stats.units.Load()}, {"refused", l.stats.refused.Load()},
		{"local", l.stats.local.Load()}, {"repeats", l.stats.repeats.Load()}, {"gives", l.stats.gives.Load()}, {"peeks", l.stats.peeks.Load()}}
}

// limitStats replies with the statistics.
func limitStats(s *session, _ []string) {
	list := s.server.limiter.counts()
	w := s.writer()
	w.Map(len(list))
	for _, st := range list {
		w.Bulk(st.name)
		w.Int(st.value)
	}
	s.queue()
}

// throttle is the command of published rate-limiting modules, which has the limit as
// arguments. Here the limit must be that of a plan.
func throttle(s *session, args []string) {
	request := s.newRequest()
	var ok bool
	if len(args) > 6 {
		s.fail("ERR wrong number of arguments for 'cl.throttle' command")
		return
	}
	if request.account, ok = s.parseAccount(args[1]); !ok {
		return
	}
	values := []int64{0, 0, 0, 1} // burst less 1, count, period in seconds, units
	for i, text := range args[2:] {
		n, err := strconv.ParseInt(text, 10, 64)
		if lowest := int64(min(i%3, 1)); err != nil || n < lowest || n > maxThrottleValue {
			s.fail(fmt.Sprintf("ERR '%.64s' is not a whole number from %d to %d", text, lowest, maxThrottleValue))
			return
		}
		values[i] = n
	}
	limit := values[0] + 1
	plan, err := s.server.limiter.planWithLimit(request.account, limit, values[1], values[2])
	if err != nil {
		s.fail("ERR " + err.Error())
		return
	}
	request.plan, request.gateways, request.wait, request.units = plan, s.server.limiter.fleet, -1, float64(values[3])
	if request.peek = request.units == 0; !request.peek && !s.checkBurst(request) {
		return
	}
	s.submit(func(w *replyWriter, r *queuedReply) {
		result := &r.result
		limited := !r.request.peek && result.Granted < r.request.units
		w.Array(5)
		if limited {
			w.Int(1)
		} else {
			w.Int(0)
		}
		w.Int(limit)
		w.Int(int64(math.Floor(result.Remaining)))
		if limited {
			w.Int(int64(math.Ceil(result.RetryAfter)))
		} else {
			w.Int(-1)
		}
		w.Int(int64(math.Ceil(result.ResetAfter)))
	})
}
