package firstage.net;

import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.nio.channels.Selector;
import java.util.LinkedHashSet;
import java.util.logging.Logger;
import org.xnio.XnioIoThread;

/**
 * Has the selector tell its ready connections in the order in which they became ready, as the system does. The JDK
 * gathers them in a set without order: after a stall of the thread (a collection, processor time used up) two
 * batches of one key would be taken in any order. There is no public way to it; the jar's manifest opens the package.
 */
final class FirstCome {
    private static final Logger LOG = Logger.getLogger(FirstCome.class.getName());

    private FirstCome() {
    }

    /** To be called on the thread itself; where it can't be had, all goes on without. */
    static void order(XnioIoThread io) {
        try {
            Method getSelector = io.getClass().getDeclaredMethod("getSelector");
            getSelector.setAccessible(true);
            Selector selector = (Selector) getSelector.invoke(io);
            LinkedHashSet<Object> inOrder = new LinkedHashSet<>();
            for (String name : new String[] {"selectedKeys", "publicSelectedKeys"}) {
                Field keys = selector.getClass().getSuperclass().getDeclaredField(name);
                keys.setAccessible(true);
                keys.set(selector, inOrder);
            }
        } catch (ReflectiveOperationException | RuntimeException fault) {
            LOG.warning("ready connections come in no order: " + fault);
        }
    }
}
