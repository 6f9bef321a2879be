// Package telemetry makes the logs and the traces of an instance.
//
// Logs are JSON lines with the instance and its failure domain, one for each
// change of state; what happens often is counted instead. Traces are spans in
// the form of OpenTelemetry, written as JSON lines to a file. A call that
// carries a sampled W3C trace context is traced always, others by a share.
//
// # Usage
//
//	logger := telemetry.Logger(os.Stderr, settings)
//	tracer, stop, err := telemetry.Tracer(settings)
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/oriolepost/oriolepost/settings"
)

const tracePerm = 0o600

// Logger returns the log of an instance.
func Logger(w io.Writer, s settings.Settings) log.Interface {
	l := &log.Logger{Handler: json.New(w), Level: log.MustParseLevel(s.LogLevel)}
	return l.WithFields(log.Fields{"instance": s.Instance, "failure_domain": s.Domain})
}

// ServeLogger returns the log of an instance on a platform.
func ServeLogger(o *Outlet, d settings.Deployment) log.Interface {
	l := &log.Logger{Handler: o, Level: log.InfoLevel}
	return l.WithFields(log.Fields{"instance": d.Instance, "failure_domain": d.Domain})
}

// Tracer returns the tracer of an instance, and how to flush it.
func Tracer(s settings.Settings) (t trace.Tracer, stop func(context.Context) error, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start traces: %w", err)
		}
	}()
	if s.Trace.File == "" {
		return noop.NewTracerProvider().Tracer("oriolepost"), func(context.Context) error { return nil }, nil
	}
	file, err := os.OpenFile(s.Trace.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, tracePerm)
	if err != nil {
		return nil, nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, nil, errors.Join(err, file.Close())
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Trace.Share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("instance", s.Instance), attribute.String("failure_domain", s.Domain),
		)),
	)
	stop = func(ctx context.Context) error { return errors.Join(p.Shutdown(ctx), file.Close()) }
	return p.Tracer("oriolepost"), stop, nil
}
