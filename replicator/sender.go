package replicator

import (
	"context"
)

// enqueue adds a message to the peer's send queue and starts its sender if needed.
// If the queue is full, the message is dropped; Raft sends it again.
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

// updateAddresses records the addresses of the current members. Those of removed
// members stay.
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

// receive passes an immediate response to the event loop. The messages that the
// core sends in turn go through the send queues.
func (n *Node) receive(message Message) {
	select {
	case n.messages <- incoming{message: message}:
	case <-n.done:
	}
}
