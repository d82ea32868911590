package main

import (
	"fmt"
	"time"
)

// stepTime is the deadline of a step, counted from its submission.
const stepTime = 12 * time.Second

// judgeStep reads the results of a step until its time is up and checks the rule LOST for it: an item that no server has finished was at
// no server for 5 s of steady state, while others had begun and the servers were under half full.
func (d *deployment) judgeStep(g *engines, batch string, ids []string, submitted, steadyFrom time.Time, slots int) (result, error) {
	idle, longest := map[string]time.Duration{}, time.Duration(0)
	worst, listed, last := "", 0, time.Now()
	for time.Since(submitted) < stepTime && listed < len(ids) {
		if outputs, _, err := d.read(0, batch, listed); err == nil {
			listed += len(outputs)
		}
		now := time.Now()
		for _, id := range ids {
			if g.isDone(id) || g.atServer(id) || now.Before(steadyFrom) || g.inWork()*2 >= slots {
				idle[id] = 0
				continue
			}
			if idle[id] += now.Sub(last); idle[id] > longest {
				longest, worst = idle[id], id
			}
		}
		last = now
		time.Sleep(50 * time.Millisecond)
	}
	begun := g.begunItems()
	d.rec.logf("%d of %d items listed, %d had begun, %s after the submission", listed, len(ids), begun, time.Since(submitted).Round(time.Millisecond))
	broken := listed < len(ids) && begun > 0 && longest >= 5*time.Second
	return result{broken: broken, detail: fmt.Sprintf("%d of %d items listed, %d begun; longest at no server in steady state: %s (%s)", listed, len(ids), begun, longest.Round(10*time.Millisecond), worst)}, nil
}
