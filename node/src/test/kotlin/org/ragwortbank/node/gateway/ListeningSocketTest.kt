package org.ragwortbank.node.gateway

import org.ragwortbank.clients.http.Address
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertTrue

class ListeningSocketTest {
    @Test
    fun `given a process that is not ready yet, when a caller connects, then the connection is not refused`() {
        val socket = ListeningSocket.open(Address("127.0.0.1", 0))
        Socket().use { caller ->
            caller.connect(InetSocketAddress(socket.address.host, socket.address.port), 1_000)
            assertTrue(caller.isConnected)
        }
        socket.channel.close()
    }
}
