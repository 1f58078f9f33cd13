package replicator

import (
	"context"
)

// enqueue hands a message to the peer's sender. A full queue drops it; the
// protocol sends again.
func (n *Node) enqueue(message Message) {
	n.updateAddresses()
	queue, known := n.sendQueues[message.To]
	if !known {
		queue = make(chan Message, queueLength)
		n.sendQueues[message.To] = queue
		peer := Peer{ID: message.To, Address: n.addresses[message.To]}
		n.senders.Add(1)
		go n.runSender(peer, queue)
	}
	select {
	case queue <- message:
	default:
	}
}

func (n *Node) updateAddresses() {
	for _, peer := range n.core.peers() {
		n.addresses[peer.ID] = peer.Address
	}
}

func (n *Node) closeQueues() {
	for _, queue := range n.sendQueues {
		close(queue)
	}
}

func (n *Node) runSender(peer Peer, queue chan Message) {
	defer n.senders.Done()
	for message := range queue {
		ctx, cancel := context.WithTimeout(context.Background(), n.options.electionTimeout/2)
		responses, err := n.transport.Send(ctx, peer, message)
		cancel()
		if err != nil {
			continue
		}
		for _, response := range responses {
			n.receive(response)
		}
	}
}

// receive takes an answer that came back directly. What the core sends in turn
// goes through the queues.
func (n *Node) receive(message Message) {
	select {
	case n.messages <- incoming{message: message}:
	case <-n.done:
	}
}
