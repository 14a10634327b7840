package entry

import (
	"fmt"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
)

// kratosLogger writes the log messages of kratos to zerolog.
type kratosLogger struct{ log zerolog.Logger }

// Log implements log.Logger of kratos.
func (k kratosLogger) Log(level klog.Level, keyvals ...any) error {
	event := k.log.Debug()
	if level >= klog.LevelWarn {
		event = k.log.Warn()
	}
	for i := 0; i+1 < len(keyvals); i += 2 {
		event = event.Str(fmt.Sprint(keyvals[i]), fmt.Sprint(keyvals[i+1]))
	}
	event.Msg("kratos")
	return nil
}

// UseKratosLogger makes kratos log to log. The setting is global to the process.
func UseKratosLogger(log zerolog.Logger) { klog.SetLogger(kratosLogger{log}) }
