package telemetry

import (
	"cmp"
	"fmt"
	"maps"
	"net/url"
	"strconv"
	"strings"
	"time"

	"elderyard/internal/site"
	"elderyard/traces"
)

// Limits of durations from environment variables; package site checks those of the site file.
const (
	minInterval = 100 * time.Millisecond
	maxInterval = time.Hour
)

const (
	serviceNameKey     = "service.name"
	serviceInstanceKey = "service.instance.id"
	defaultService     = "elderyard"
)

// FromSite returns the settings of the site file. If the file has no endpoint, the endpoint and its options come from
// OpenTelemetry's standard environment variables; resource attributes may come from them in any case. It returns nil if
// nothing is to be exported. Name is the process's service.instance.id.
func FromSite(s site.Telemetry, env func(string) string, name string) (*Settings, error) {
	if env("OTEL_SDK_DISABLED") == "true" && s.Endpoint == "" {
		return nil, nil
	}
	set := &Settings{
		Endpoint:     s.Endpoint,
		GRPC:         s.Protocol == "grpc",
		Headers:      map[string]string{},
		Traces:       s.Traces,
		Metrics:      s.Metrics,
		Interval:     time.Duration(s.Interval),
		Timeout:      time.Duration(s.Timeout),
		FlushTimeout: time.Duration(s.Flush),
		QueueBytes:   s.QueueKB << 10,
		Tracing:      traces.Settings{SampleRatio: s.Share, AlwaysSample: alwaysSample(s.Keep)},
	}
	if set.Endpoint == "" {
		set.Endpoint = env("OTEL_EXPORTER_OTLP_ENDPOINT")
		if set.Endpoint == "" {
			return nil, nil
		}
		if err := set.fromEnv(env); err != nil {
			return nil, err
		}
	}
	if u, err := url.Parse(set.Endpoint); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("collector endpoint %q is not an http or https URL", set.Endpoint)
	}
	set.Endpoint = strings.TrimSuffix(set.Endpoint, "/")
	maps.Copy(set.Headers, s.Headers)
	resource, err := resourceAttributes(s.Service, env, name)
	if err != nil {
		return nil, err
	}
	set.Resource = resource
	return set, nil
}

// alwaysSample converts the list of the site file, which package site has validated.
func alwaysSample(list []string) (always traces.AlwaysSample) {
	for _, name := range list {
		switch name {
		case "failed":
			always.Failed = true
		case "refused":
			always.Refused = true
		case "late":
			always.Late = true
		case "repeated":
			always.Retried = true
		}
	}
	return always
}

// resourceAttributes returns the attributes of this process. Those of OTEL_RESOURCE_ATTRIBUTES do not override its
// name.
func resourceAttributes(service string, env func(string) string, name string) ([]traces.Attr, error) {
	service = cmp.Or(service, env("OTEL_SERVICE_NAME"), defaultService)
	resource := []traces.Attr{{Key: serviceNameKey, Value: service}, {Key: serviceInstanceKey, Value: name}}
	extra, err := parsePairs(env("OTEL_RESOURCE_ATTRIBUTES"))
	if err != nil {
		return nil, fmt.Errorf("OTEL_RESOURCE_ATTRIBUTES: %w", err)
	}
	for _, p := range extra {
		if p[0] != serviceNameKey && p[0] != serviceInstanceKey {
			resource = append(resource, traces.Attr{Key: p[0], Value: p[1]})
		}
	}
	return resource, nil
}

// fromEnv applies the environment variables for the endpoint of the environment.
func (set *Settings) fromEnv(env func(string) string) error {
	switch protocol := env("OTEL_EXPORTER_OTLP_PROTOCOL"); protocol {
	case "", "http/protobuf":
	case "grpc":
		set.GRPC = true
	default:
		return fmt.Errorf("OTEL_EXPORTER_OTLP_PROTOCOL: unsupported protocol %q, want http/protobuf or grpc", protocol)
	}
	headers, err := parsePairs(env("OTEL_EXPORTER_OTLP_HEADERS"))
	if err != nil {
		return fmt.Errorf("OTEL_EXPORTER_OTLP_HEADERS: %w", err)
	}
	for _, p := range headers {
		set.Headers[p[0]] = p[1]
	}
	if err := durationFromEnv(env, "OTEL_EXPORTER_OTLP_TIMEOUT", &set.Timeout); err != nil {
		return err
	}
	if err := durationFromEnv(env, "OTEL_METRIC_EXPORT_INTERVAL", &set.Interval); err != nil {
		return err
	}
	return set.samplerFromEnv(env)
}

// durationFromEnv sets d from a variable in milliseconds, unless the variable is empty.
func durationFromEnv(env func(string) string, name string, d *time.Duration) error {
	text := env(name)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	value := time.Duration(ms) * time.Millisecond
	if err != nil || ms > maxInterval.Milliseconds() || value < minInterval {
		return fmt.Errorf("%s: %q is not a duration from %d to %d milliseconds", name, text, minInterval.Milliseconds(), maxInterval.Milliseconds())
	}
	*d = value
	return nil
}

// samplerFromEnv sets the sample ratio from the standard sampler variables.
func (set *Settings) samplerFromEnv(env func(string) string) error {
	switch sampler := env("OTEL_TRACES_SAMPLER"); sampler {
	case "":
	case "always_on", "parentbased_always_on":
		set.Tracing.SampleRatio = 1
	case "always_off", "parentbased_always_off":
		set.Tracing.SampleRatio = 0
	case "traceidratio", "parentbased_traceidratio":
		ratio, err := strconv.ParseFloat(env("OTEL_TRACES_SAMPLER_ARG"), 64)
		if err != nil || !(ratio >= 0 && ratio <= 1) {
			return fmt.Errorf("OTEL_TRACES_SAMPLER_ARG: %q is not a ratio from 0 to 1", env("OTEL_TRACES_SAMPLER_ARG"))
		}
		set.Tracing.SampleRatio = ratio
	default:
		return fmt.Errorf("OTEL_TRACES_SAMPLER: unknown sampler %q", sampler)
	}
	return nil
}

// parsePairs parses a list such as a=1,b=2 with URL-encoded values.
func parsePairs(text string) (list [][2]string, err error) {
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		key, value, ok := strings.Cut(part, "=")
		if key = strings.TrimSpace(key); !ok || key == "" {
			return nil, fmt.Errorf("%q is not of the form key=value", part)
		}
		if value, err = url.PathUnescape(strings.TrimSpace(value)); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		list = append(list, [2]string{key, value})
	}
	return list, nil
}
