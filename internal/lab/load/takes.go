package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/resp"
	"elderyard/internal/wait"
)

// The mix of limit commands that applications send, as shares of their takes.
const (
	tokenFraction    = 0.4  // carry a token
	resendFraction   = 0.3  // of those with a token, sent again as if the answer had been lost
	giveFraction     = 0.25 // of those with a token, followed by the return of one unit
	partialFraction  = 0.15 // ask for partialUnits and accept fewer
	waitFraction     = 0.2  // wait for their units (WAIT)
	throttleFraction = 0.1  // use CL.THROTTLE, the command of published rate-limiting modules
	dropFraction     = 0.02 // close the connection without reading the reply
	partialUnits     = 3.0
	minWait          = 50 * time.Millisecond
	maxWait          = 400 * time.Millisecond
	giveDelay        = 150 * time.Millisecond // before a unit is returned
)

var replyLimits = resp.Limits{Args: 64, Bulk: 1 << 10, Total: 8 << 10, Depth: 2}

// playTake plays one arrival as a limit command. All choices are drawn from the seed and the number of the arrival.
func (c *Clients) playTake(ctx context.Context, a *Arrival, due time.Time) {
	r := rand.New(rand.NewPCG(c.Seed^0x7a4e, uint64(a.N)))
	plan := &c.Plans[a.Customer.Plan]
	t := audit.Take{First: a.N, Customer: a.Customer.ID, Plan: a.Customer.Plan, Asked: c.Units, Arrived: due, Left: c.TakeWithin}
	to := c.Limits.route(a.Customer, r.IntN(len(c.Limits.endpoints)))
	t.Front = c.Limits.name(to)
	words := []string{"LIMIT.TAKE", account(a), units(t.Asked)}
	whose := []string{"PLAN", plan.Name, "SPREAD", strconv.Itoa(a.Customer.Spread), "FIRST", strconv.Itoa(a.Customer.First)}
	kind, drops := r.Float64(), r.Float64() < dropFraction
	switch {
	case kind < throttleFraction && a.Customer.Spread == c.Gateways && plan.Burst >= 1:
		// The arguments must match the plan and be whole numbers, so the rate is stated as units per 10 seconds.
		words = []string{"CL.THROTTLE", account(a), strconv.Itoa(int(plan.Burst) - 1), strconv.Itoa(int(math.Round(plan.Rate * 10))), "10"}
	case kind < throttleFraction+partialFraction:
		t.Asked = min(partialUnits, math.Floor(plan.Burst))
		words = append(append(words[:2], units(t.Asked), "PARTIAL"), whose...)
		t.Part = true
	case kind < throttleFraction+partialFraction+waitFraction:
		wait := time.Duration(uniform(r, minWait.Seconds(), maxWait.Seconds()) * float64(time.Second)).Round(time.Millisecond)
		t.Left += wait
		words = append(append(words, "WAIT", strconv.FormatInt(wait.Milliseconds(), 10)), whose...)
	case kind < throttleFraction+partialFraction+waitFraction+tokenFraction:
		t.Token = randomID(r)
		words = append(append(words, "ID", t.Token), whose...)
	default:
		words = append(words, whose...)
	}
	resend, giveBack := r.Float64() < resendFraction, r.Float64() < giveFraction
	c.sendCommand(ctx, to, words, &t, drops)
	c.recordTake(&t)
	if t.Token == "" || t.Granted == 0 || drops {
		return
	}
	if resend {
		repeat := audit.Take{First: a.N, Number: 1, Front: t.Front, Customer: t.Customer, Plan: t.Plan, Token: t.Token, Asked: t.Asked,
			Arrived: due, Left: c.TakeWithin, Fresh: true}
		c.sendCommand(ctx, to, words, &repeat, false)
		c.recordTake(&repeat)
	}
	if giveBack && wait.For(ctx, giveDelay) {
		give := audit.Take{First: a.N, Number: 1, Front: t.Front, Customer: t.Customer, Plan: t.Plan, Token: t.Token, Asked: 1,
			Arrived: due, Left: c.TakeWithin, Returns: true}
		c.sendCommand(ctx, to, append([]string{"LIMIT.GIVE", account(a), "1", "ID", t.Token}, whose...), &give, false)
		c.recordTake(&give)
	}
}

func account(a *Arrival) string { return fmt.Sprintf("%016x", a.Customer.ID) }

func units(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }

// sendCommand sends one limit command and reads its reply. A command that fails on a reused connection, because the
// server closed it while idle, is sent once more on a new connection.
func (c *Clients) sendCommand(ctx context.Context, to int, words []string, t *audit.Take, drops bool) {
	c.sendCommandOnce(ctx, to, words, t, drops)
	if (t.Outcome == audit.Closed || t.Outcome == audit.NotTaken) && t.Pooled && ctx.Err() == nil {
		t.Fresh = true
		c.sendCommandOnce(ctx, to, words, t, drops)
	}
}

func (c *Clients) sendCommandOnce(ctx context.Context, to int, words []string, t *audit.Take, drops bool) {
	t.Outcome, t.Over = audit.NotTaken, time.Now()
	cn, err := c.Limits.get(ctx, to, t.Fresh)
	if err != nil {
		t.Over = time.Now()
		return
	}
	reusable := false
	defer func() { c.Limits.put(to, cn, reusable) }()
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	t.Pooled = cn.reused
	cn.SetDeadline(time.Now().Add(t.Left + c.Slack + lateAnswerWait))
	var w resp.Writer
	w.Command(words...)
	if _, err := cn.Write(w.Buf); err != nil {
		t.Over = time.Now()
		return
	}
	t.Sent = time.Now()
	if drops {
		t.Outcome, t.Over = audit.Unfinished, t.Sent
		return
	}
	v, err := resp.NewReader(cn.r, replyLimits).Reply()
	t.Over = time.Now()
	switch {
	case err == nil:
		reusable = stop()
		parseReply(t, v)
	case ctx.Err() != nil:
		t.Outcome = audit.Unfinished
	case timedOut(err) && t.Over.Sub(t.Sent) >= t.Left:
		t.Outcome = audit.NoAnswer
	case errors.Is(err, resp.ErrProtocol):
		t.Outcome, t.Error = audit.Failed, err.Error()
	default:
		t.Outcome = audit.Closed
	}
}

// parseReply fills in the outcome from a reply. A reply that does not fit the command counts as failed.
func parseReply(t *audit.Take, v resp.Value) {
	t.Outcome = audit.Failed
	switch {
	case v.Kind == resp.Error:
		t.Error = v.Str
		return
	case v.Kind == resp.Array && len(v.Elements) == throttleReplyLen && v.Elements[0].Kind == resp.Int:
		t.Outcome = audit.Refused
		if v.Elements[0].Int == 0 {
			t.Outcome, t.Granted = audit.Served, t.Asked
		}
		return
	}
	figures := map[string]string{}
	for i := 0; i+1 < len(v.Elements); i += 2 {
		figures[v.Elements[i].Str] = valueText(v.Elements[i+1])
	}
	name := "granted"
	if t.Returns {
		name = "given"
	}
	n, err := strconv.ParseFloat(figures[name], 64)
	if err != nil || n < 0 {
		t.Error = fmt.Sprintf("a reply without %s: %+v", name, v)
		return
	}
	t.Granted, t.Local, t.Repeated = n, figures["source"] == "local", figures["repeated"] == "1"
	if t.Outcome = audit.Refused; n > 0 {
		t.Outcome = audit.Served
	}
}

// throttleReplyLen is the number of elements in a reply to CL.THROTTLE.
const throttleReplyLen = 5

// valueText returns a value of a reply as RESP version 2 encodes it.
func valueText(v resp.Value) string {
	if v.Kind == resp.Int {
		return strconv.FormatInt(v.Int, 10)
	}
	return v.Str
}

func (c *Clients) recordTake(t *audit.Take) {
	c.Sink.Take(*t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.Takes++
	if t.Outcome == audit.Served && !t.Returns {
		c.progress.Granted++
	}
}
