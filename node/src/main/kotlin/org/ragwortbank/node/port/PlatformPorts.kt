package org.ragwortbank.node.port

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import org.ragwortbank.clients.http.Address

/** What a platform integration provides: its header fields and the clients of its store and its engines. */
interface PlatformPorts {
    /** The header fields of the platform's requests and answers. */
    fun dialect(): RequestDialect

    /** Creates a client of the store at [address] that delivers replies on [loop]. */
    fun createStoreClient(group: EventLoopGroup, loop: EventLoop, address: Address): StoreClient

    /** Creates a client of the engine at [address] that sends commands as [owner] and delivers replies on [loop]. */
    fun createEngineClient(
        group: EventLoopGroup,
        loop: EventLoop,
        address: Address,
        owner: String,
    ): EngineControlClient
}
