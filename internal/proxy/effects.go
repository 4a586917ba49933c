package proxy

// effects collects the work to do after Proxy.mu is released: connections to close, attempts to write, an answer to
// deliver.
type effects struct {
	connsToClose    []*endpointConn
	attemptsToWrite []*attempt
	answer          answer
	answeredRequest *request // the request that answer belongs to; nil: no answer to deliver
}

// writeLater schedules an attempt, which must have a connection, for writing. The writer runs without the lock and a
// shutdown may meanwhile lower the attempt's deadline, so it uses a copy of the deadline. The caller holds p.mu.
func (e *effects) writeLater(attempt *attempt) {
	attempt.writeDeadline = attempt.deadline
	e.attemptsToWrite = append(e.attemptsToWrite, attempt)
}

// runEffects carries out effects. The caller must not hold p.mu. Connections are closed before the answer is delivered,
// so that no byte of a request is sent to an endpoint after the client got its answer.
func (p *Proxy) runEffects(effects *effects) {
	for _, conn := range effects.connsToClose {
		conn.close()
	}
	for _, attempt := range effects.attemptsToWrite {
		p.writeAttempt(attempt)
	}
	if effects.answeredRequest != nil {
		p.protocol.deliverAnswer(effects.answeredRequest, effects.answer)
	}
}
