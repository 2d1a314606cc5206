package main

import (
	"cmp"
	"encoding/hex"
	"slices"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
)

// spanNode is a span with the process that it is from, and what came below it.
type spanNode struct {
	*trace.Span
	process  string
	children []*spanNode
}

// traceTree is all spans of a trace.
type traceTree struct {
	id         string
	from, to   uint64
	spans      int
	processes  []string
	roots      []*spanNode // whose parent is not there, in order of time
	failed     bool
	last, what string // how the last of them ended, and what was asked
}

// buildTraces puts spans together, the stories that took longest first. Of a span that
// came twice one is kept, and spans that name each other as parents hang below nobody's.
func buildTraces(list []*trace.ResourceSpans) (all []*traceTree) {
	by := map[string]*traceTree{}
	spans := map[string]*spanNode{}
	var order []*spanNode
	for _, rs := range list {
		process := attribute(rs.GetResource().GetAttributes(), "service.instance.id")
		for _, ss := range rs.ScopeSpans {
			for _, s := range ss.Spans {
				key := string(s.TraceId) + string(s.SpanId)
				if spans[key] != nil {
					continue
				}
				n := &spanNode{Span: s, process: process}
				spans[key] = n
				order = append(order, n)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b *spanNode) int { return cmp.Compare(a.StartTimeUnixNano, b.StartTimeUnixNano) })
	for _, n := range order {
		id := hex.EncodeToString(n.TraceId)
		s := by[id]
		if s == nil {
			s = &traceTree{id: id, from: n.StartTimeUnixNano}
			by[id] = s
			all = append(all, s)
		}
		s.spans++
		s.to = max(s.to, n.EndTimeUnixNano)
		s.failed = s.failed || n.Status.GetCode() == trace.Status_STATUS_CODE_ERROR
		if !slices.Contains(s.processes, n.process) {
			s.processes = append(s.processes, n.process)
		}
		parent := spans[string(n.TraceId)+string(n.ParentSpanId)]
		if parent == nil || len(n.ParentSpanId) == 0 || hasAncestor(n, parent, spans) {
			s.roots = append(s.roots, n)
			s.what, s.last = n.Name, attribute(n.Attributes, "elderyard.outcome")
			continue
		}
		parent.children = append(parent.children, n)
	}
	slices.SortStableFunc(all, func(a, b *traceTree) int { return cmp.Compare(b.to-b.from, a.to-a.from) })
	return all
}

// hasAncestor tells whether a span is its parent's own ancestor.
func hasAncestor(n, parent *spanNode, spans map[string]*spanNode) bool {
	for range len(spans) {
		if parent == nil {
			return false
		}
		if parent == n {
			return true
		}
		parent = spans[string(parent.TraceId)+string(parent.ParentSpanId)]
	}
	return true
}
