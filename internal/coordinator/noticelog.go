package coordinator

import "github.com/sirupsen/logrus"

// maxNoticesToLog limits the notices between two reports. Further ones are not logged.
const maxNoticesToLog = 64

// notice is a log line on what targets state about themselves. It says why later requests avoid them.
type notice struct {
	event   string
	fields  logrus.Fields
	message string
}

// logNotice has a line logged at the next report. The caller must hold f.mu.
func (f *FleetView) logNotice(event string, fields logrus.Fields, message string) {
	if len(f.noticesToLog) < maxNoticesToLog {
		f.noticesToLog = append(f.noticesToLog, notice{event, fields, message})
	}
}

func (f *FleetView) takeNoticesToLog() []notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.noticesToLog
	f.noticesToLog = nil
	return out
}

// logNotices logs what targets stated about themselves since the last report.
func (c *Client) logNotices() {
	for _, n := range c.opts.FleetView.takeNoticesToLog() {
		c.opts.Log.WithFields(n.fields).WithField("event", n.event).Info(n.message)
	}
}
