package rules

import "slices"

// Requests and responses that are too long to be buffered, and pass through as they arrive.

// completeBody starts the time of a request whose whole body has been forwarded.
func (g *Gateway) completeBody(e BodyComplete) {
	req := g.openRequest(e.Request)
	if req == nil || !req.bodyPending || req.openAttempts == 0 {
		return
	}
	n := len(req.attempts) - 1
	req.bodyPending, req.SentAt, req.Deadline = false, e.SentAt, e.Deadline
	req.answerBy = g.answerDeadline(req)
	req.attempts[n].sentAt, req.mayHaveRunAt = g.now, g.now
	g.trackAttempt(&req.attempts[n], req.level)
	g.setTimer(req.answerBy-g.now, timerAnswerBy, 0, req.ID)
	if g.latency > 0 {
		g.setTimer(g.slowAfter(), timerSlowAttempt, n, req.ID)
	}
}

// expireBody refuses a request whose time is over before an attempt has begun to forward its body. Where one has, its
// end decides: only that tells whether the request may have run.
func (g *Gateway) expireBody(e BodyOverdue) {
	req := g.openRequest(e.Request)
	if req != nil && req.bodyPending && req.openAttempts == 0 {
		g.refuseOrFail(req)
	}
}

// awaitResponse keeps a request from being given up while a backend gives its answer.
func (g *Gateway) awaitResponse(e ResponsePending) {
	req := g.openRequest(e.Request)
	if req != nil && e.Attempt < len(req.attempts) {
		req.attempts[e.Attempt].responding = true
	}
}

// isResponding reports whether a backend is giving the request's answer.
func (r *activeRequest) isResponding() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.responding && !a.ended })
}

// startResponse treats the first byte of a long response as its end: the rest may take as long as the client
// likes and says nothing about the backend. In a Streamed class the backend works until the end.
func (g *Gateway) startResponse(e ResponseStarted) {
	req := g.openRequest(e.Request)
	if req == nil || e.Attempt >= len(req.attempts) {
		return
	}
	req.streaming = true
	if a := &req.attempts[e.Attempt]; !req.class.Streamed && !a.ended {
		g.untrackAttempt(a, req.level)
		g.recordOutcome(req, a, AttemptEnd{Outcome: Served})
		for n := range req.attempts {
			if n != e.Attempt && !req.attempts[n].ended && g.cfg.CanCancel {
				g.emit(Cancel{Request: req.ID, Attempt: n})
			}
		}
	}
}
