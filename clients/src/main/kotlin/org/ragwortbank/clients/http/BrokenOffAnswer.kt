package org.ragwortbank.clients.http

import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.HttpObject

/**
 * Whether the decoder reports that the connection ended inside the head of an answer.
 *
 * All that arrived of it is sound then: the answer wasn't malformed, its sender is gone.
 */
val HttpObject.isBrokenOff: Boolean get() = decoderResult().cause() is PrematureChannelClosureException
