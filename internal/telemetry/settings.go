package telemetry

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"elderyard/internal/site"
	"elderyard/traces"
)

// Limits of values from the environment; package site checks those of the operators' file.
const (
	minInterval = 100 * time.Millisecond
	maxInterval = time.Hour
)

// FromSite returns the settings of the operators' file, completed from OpenTelemetry's standard environment
// variables. It returns nil if nothing is to be exported. Name identifies the process.
func FromSite(s site.Telemetry, env func(string) string, name string) (*Settings, error) {
	if env("OTEL_SDK_DISABLED") == "true" && s.Endpoint == "" {
		return nil, nil
	}
	set := &Settings{Endpoint: s.Endpoint, GRPC: s.Protocol == "grpc", Headers: map[string]string{}, Traces: s.Traces, Metrics: s.Metrics, Interval: time.Duration(s.Interval),
		Timeout: time.Duration(s.Timeout), Flush: time.Duration(s.Flush), QueueBytes: s.QueueKB << 10,
		Tracing: traces.Settings{SampleRatio: s.Share, Keep: traces.Keep{}}}
	for _, k := range s.Keep {
		switch k {
		case "failed":
			set.Tracing.Keep.Failed = true
		case "refused":
			set.Tracing.Keep.Refused = true
		case "late":
			set.Tracing.Keep.Late = true
		case "repeated":
			set.Tracing.Keep.Repeated = true
		}
	}
	if set.Endpoint == "" {
		if set.Endpoint = env("OTEL_EXPORTER_OTLP_ENDPOINT"); set.Endpoint == "" {
			return nil, nil
		}
		switch protocol := env("OTEL_EXPORTER_OTLP_PROTOCOL"); protocol {
		case "", "http/protobuf":
		case "grpc":
			set.GRPC = true
		default:
			return nil, fmt.Errorf("OTEL_EXPORTER_OTLP_PROTOCOL: %q is neither http/protobuf nor grpc", protocol)
		}
		if err := set.fromEnv(env); err != nil {
			return nil, err
		}
	}
	if u, err := url.Parse(set.Endpoint); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("collector: %q is not a URL of http or https", set.Endpoint)
	}
	set.Endpoint = strings.TrimSuffix(set.Endpoint, "/")
	for key, value := range s.Headers {
		set.Headers[key] = value
	}
	service := s.Service
	if service == "" {
		service = env("OTEL_SERVICE_NAME")
	}
	if service == "" {
		service = "elderyard"
	}
	set.Resource = []traces.Attr{{Key: "service.name", Value: service}, {Key: "service.instance.id", Value: name}}
	more, err := pairs(env("OTEL_RESOURCE_ATTRIBUTES"))
	if err != nil {
		return nil, fmt.Errorf("OTEL_RESOURCE_ATTRIBUTES: %w", err)
	}
	for _, p := range more {
		if p[0] != "service.name" && p[0] != "service.instance.id" {
			set.Resource = append(set.Resource, traces.Attr{Key: p[0], Value: p[1]})
		}
	}
	return set, nil
}

// fromEnv applies the environment variables that go with the endpoint.
func (set *Settings) fromEnv(env func(string) string) error {
	headers, err := pairs(env("OTEL_EXPORTER_OTLP_HEADERS"))
	if err != nil {
		return fmt.Errorf("OTEL_EXPORTER_OTLP_HEADERS: %w", err)
	}
	for _, p := range headers {
		set.Headers[p[0]] = p[1]
	}
	for name, to := range map[string]*time.Duration{"OTEL_EXPORTER_OTLP_TIMEOUT": &set.Timeout, "OTEL_METRIC_EXPORT_INTERVAL": &set.Interval} {
		text := env(name)
		if text == "" {
			continue
		}
		ms, err := strconv.ParseInt(text, 10, 64)
		d := time.Duration(ms) * time.Millisecond
		if err != nil || ms > maxInterval.Milliseconds() || d < minInterval {
			return fmt.Errorf("%s: %q is not a number of milliseconds from %d to %d", name, text, minInterval.Milliseconds(), maxInterval.Milliseconds())
		}
		*to = d
	}
	switch sampler := env("OTEL_TRACES_SAMPLER"); sampler {
	case "":
	case "always_on", "parentbased_always_on":
		set.Tracing.SampleRatio = 1
	case "always_off", "parentbased_always_off":
		set.Tracing.SampleRatio = 0
	case "traceidratio", "parentbased_traceidratio":
		share, err := strconv.ParseFloat(env("OTEL_TRACES_SAMPLER_ARG"), 64)
		if err != nil || !(share >= 0 && share <= 1) {
			return fmt.Errorf("OTEL_TRACES_SAMPLER_ARG: %q is not a share from 0 to 1", env("OTEL_TRACES_SAMPLER_ARG"))
		}
		set.Tracing.SampleRatio = share
	default:
		return fmt.Errorf("OTEL_TRACES_SAMPLER: %q is not known", sampler)
	}
	return nil
}

// pairs parses a list such as a=1,b=2 with URL-encoded values.
func pairs(text string) (list [][2]string, err error) {
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		key, value, ok := strings.Cut(part, "=")
		if key = strings.TrimSpace(key); !ok || key == "" {
			return nil, fmt.Errorf("%q is not key=value", part)
		}
		if value, err = url.PathUnescape(strings.TrimSpace(value)); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		list = append(list, [2]string{key, value})
	}
	return list, nil
}
