package org.ragwortbank.node.port

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import org.ragwortbank.clients.http.Address

/** What a platform brings: its store, its way of saying things in header fields, its engines' calls. */
interface PlatformPorts {
    /** How requests and answers are marked. */
    fun dialect(): RequestDialect

    /** The store at [address]; answers come on [loop]. */
    fun store(group: EventLoopGroup, loop: EventLoop, address: Address): StoreClient

    /** The engine at [address]; answers come on [loop]. */
    fun engine(group: EventLoopGroup, loop: EventLoop, address: Address, owner: String): EngineControlClient
}
