package forwarder

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/arbutuswinch/winch/winchd/settings"
)

// reloadEvery is the time between two looks at the settings file, which may change without a signal.
const reloadEvery = 2 * time.Second

// reloader takes changed settings in while the process serves. Settings that are fixed at
// the start, such as addresses, are told in the log and count at the next start.
type reloader struct {
	path    string
	logger  hclog.Logger
	current settings.Forwarding
	apply   func(settings.Forwarding)
	// rejected is the text of the last error, so that it is logged once.
	rejected string
}

// run reloads at SIGHUP and when the file has changed, until ctx ends. It returns nil.
func (r *reloader) run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			r.reload("signal")
		case <-ticker.C:
			r.reload("file")
		}
	}
}

// reload reads the file. Settings that are invalid change nothing.
func (r *reloader) reload(cause string) {
	loaded, err := settings.LoadForwarding(r.path)
	if err != nil {
		if r.rejected != err.Error() {
			r.rejected = err.Error()
			r.logger.Error("settings not taken", "Event", EventReloadFailed, "Cause", cause, "Error", err)
		}
		return
	}
	r.rejected = ""
	if reflect.DeepEqual(loaded, r.current) {
		if cause == "signal" {
			r.logger.Info("settings unchanged", "Event", EventReloaded, "Cause", cause)
		}
		return
	}
	r.logger.Info("settings taken", "Event", EventReloaded, "Cause", cause, "NextStart", fixedChanged(r.current, loaded))
	r.current = loaded
	r.apply(loaded)
}

// fixedChanged names the changed sections that count at the next start only.
func fixedChanged(before, after settings.Forwarding) []string {
	changed := []string{}
	for _, section := range []struct {
		name          string
		before, after any
	}{
		{"Host", before.Host, after.Host}, {"DataCentre", before.DataCentre, after.DataCentre},
		{"DataCentres", before.DataCentres, after.DataCentres}, {"Caller", before.Caller, after.Caller},
		{"Peer", before.Peer, after.Peer}, {"Store", before.Store, after.Store}, {"Duties", before.Duties, after.Duties},
		{"Limits", before.Limits, after.Limits},
	} {
		if !reflect.DeepEqual(section.before, section.after) {
			changed = append(changed, section.name)
		}
	}
	return changed
}
