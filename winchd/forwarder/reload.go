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

// reloadEvery is the interval at which the settings file is checked, since it may change without a signal.
const reloadEvery = 2 * time.Second

// reloader reloads the settings of the running process. Settings that cannot change at run
// time, such as addresses, are logged and take effect at the next start.
type reloader struct {
	path    string
	logger  hclog.Logger
	current settings.Forwarding
	apply   func(settings.Forwarding)
	// lastError is the text of the last error, so that the same error is logged only once. It is
	// empty after a successful reload.
	lastError string
}

// KeepOnHangup makes SIGHUP no longer end the process. It is called before anything else, since the reloader listens only while the
// host runs, and operators reload the settings at any time.
func KeepOnHangup() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

// run reloads the settings on SIGHUP and at every interval until ctx is done. It returns nil.
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

// reload loads the file and applies the settings if they have changed. Invalid settings are only logged.
func (r *reloader) reload(cause string) {
	loaded, err := settings.LoadForwarding(r.path)
	if err != nil {
		if r.lastError != err.Error() {
			r.lastError = err.Error()
			r.logger.Error("settings rejected", "Event", EventReloadFailed, "Cause", cause, "Error", err)
		}
		return
	}
	r.lastError = ""
	if reflect.DeepEqual(loaded, r.current) {
		if cause == "signal" {
			r.logger.Info("settings unchanged", "Event", EventReloaded, "Cause", cause)
		}
		return
	}
	r.logger.Info("settings reloaded", "Event", EventReloaded, "Cause", cause, "NextStart", changedFixedSections(r.current, loaded))
	r.current = loaded
	r.apply(loaded)
}

// changedFixedSections returns the names of the changed sections that take effect only at the next start.
func changedFixedSections(before, after settings.Forwarding) []string {
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
