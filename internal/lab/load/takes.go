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

// What apps do with limit commands: shares of their takes.
const (
	takeToken    = 0.4  // carry a token, and
	takeAgain    = 0.3  // of these are sent again, as if their answer had been lost
	takeBack     = 0.25 // of these give a unit back
	takePart     = 0.15 // ask for partUnits, and are content with fewer
	takeWaits    = 0.2  // wait for their units
	takeThrottle = 0.1  // use the command that rate-limiting modules publish
	takeDrop     = 0.02 // leave without reading the reply
	partUnits    = 3.0
	leastWait    = 50 * time.Millisecond
	mostWait     = 400 * time.Millisecond
	holdUnit     = 150 * time.Millisecond // before one is given back
)

var replyBounds = resp.Limits{Args: 64, Bulk: 1 << 10, Total: 8 << 10, Depth: 2}

// take plays one arrival as a limit command. All its choices are drawn from the
// seed and its number.
func (c *Clients) take(ctx context.Context, a *Arrival, due time.Time) {
	r := rand.New(rand.NewPCG(c.Seed^0x7a4e, uint64(a.N)))
	plan := &c.Plans[a.Customer.Plan]
	t := audit.Take{First: a.N, Customer: a.Customer.ID, Plan: a.Customer.Plan, Asked: c.Units, Arrived: due, Left: c.TakeWithin}
	to := c.Limits.route(a.Customer, r.IntN(len(c.Limits.gates)))
	t.Front = c.Limits.name(to)
	words := []string{"LIMIT.TAKE", account(a), units(t.Asked)}
	whose := []string{"PLAN", plan.Name, "SPREAD", strconv.Itoa(a.Customer.Spread), "FIRST", strconv.Itoa(a.Customer.First)}
	kind, drops := r.Float64(), r.Float64() < takeDrop
	switch {
	case kind < takeThrottle && a.Customer.Spread == c.Gateways && plan.Burst >= 1:
		// Its figures have to be the plan's: whole numbers, so the rate is in tenths.
		words = []string{"CL.THROTTLE", account(a), strconv.Itoa(int(plan.Burst) - 1), strconv.Itoa(int(math.Round(plan.Rate * 10))), "10"}
	case kind < takeThrottle+takePart:
		t.Asked = min(partUnits, math.Floor(plan.Burst))
		words = append(append(words[:2], units(t.Asked), "PARTIAL"), whose...)
		t.Part = true
	case kind < takeThrottle+takePart+takeWaits:
		wait := time.Duration(between(r, leastWait.Seconds(), mostWait.Seconds()) * float64(time.Second)).Round(time.Millisecond)
		t.Left += wait
		words = append(append(words, "WAIT", strconv.FormatInt(wait.Milliseconds(), 10)), whose...)
	case kind < takeThrottle+takePart+takeWaits+takeToken:
		t.Token = id(r)
		words = append(append(words, "ID", t.Token), whose...)
	default:
		words = append(words, whose...)
	}
	again, back := r.Float64() < takeAgain, r.Float64() < takeBack
	c.command(ctx, to, words, &t, drops)
	c.noteTake(&t)
	if t.Token == "" || t.Granted == 0 || drops {
		return
	}
	if again {
		repeat := audit.Take{First: a.N, Number: 1, Front: t.Front, Customer: t.Customer, Plan: t.Plan, Token: t.Token, Asked: t.Asked,
			Arrived: due, Left: c.TakeWithin, Fresh: true}
		c.command(ctx, to, words, &repeat, false)
		c.noteTake(&repeat)
	}
	if back && wait.For(ctx, holdUnit) {
		give := audit.Take{First: a.N, Number: 1, Front: t.Front, Customer: t.Customer, Plan: t.Plan, Token: t.Token, Asked: 1,
			Arrived: due, Left: c.TakeWithin, Returns: true}
		c.command(ctx, to, append([]string{"LIMIT.GIVE", account(a), "1", "ID", t.Token}, whose...), &give, false)
		c.noteTake(&give)
	}
}

func account(a *Arrival) string { return fmt.Sprintf("%016x", a.Customer.ID) }

func units(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }

// command sends one limit command and takes its reply. One that crossed the close
// of an idle connection is sent once more on a new one.
func (c *Clients) command(ctx context.Context, to int, words []string, t *audit.Take, drops bool) {
	c.commandOn(ctx, to, words, t, drops)
	if (t.Outcome == audit.Closed || t.Outcome == audit.NotTaken) && t.Pooled && ctx.Err() == nil {
		t.Fresh = true
		c.commandOn(ctx, to, words, t, drops)
	}
}

func (c *Clients) commandOn(ctx context.Context, to int, words []string, t *audit.Take, drops bool) {
	t.Outcome, t.Over = audit.NotTaken, time.Now()
	cn, err := c.Limits.get(ctx, to, t.Fresh)
	if err != nil {
		t.Over = time.Now()
		return
	}
	again := false
	defer func() { c.Limits.put(to, cn, again) }()
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	t.Pooled = cn.used
	cn.SetDeadline(time.Now().Add(t.Left + c.Slack + extraWait))
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
	v, err := resp.NewReader(cn.r, replyBounds).Reply()
	t.Over = time.Now()
	switch {
	case err == nil:
		again = stop()
		note(t, v)
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

// note takes a reply's figures. What is no reply to the command is an error.
func note(t *audit.Take, v resp.Value) {
	t.Outcome = audit.Failed
	switch {
	case v.Kind == resp.Error:
		t.Error = v.Str
		return
	case v.Kind == resp.Array && len(v.Elements) == throttleFigures && v.Elements[0].Kind == resp.Int:
		t.Outcome = audit.Refused
		if v.Elements[0].Int == 0 {
			t.Outcome, t.Granted = audit.Served, t.Asked
		}
		return
	}
	figures := map[string]string{}
	for i := 0; i+1 < len(v.Elements); i += 2 {
		figures[v.Elements[i].Str] = text(v.Elements[i+1])
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

// throttleFigures are what CL.THROTTLE answers with.
const throttleFigures = 5

// text is a value of a reply as version 2 writes it.
func text(v resp.Value) string {
	if v.Kind == resp.Int {
		return strconv.FormatInt(v.Int, 10)
	}
	return v.Str
}

func (c *Clients) noteTake(t *audit.Take) {
	c.Sink.Take(*t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.Takes++
	if t.Outcome == audit.Served && !t.Returns {
		c.progress.Granted++
	}
}
